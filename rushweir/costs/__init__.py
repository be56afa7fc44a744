"""What requests cost: priced by rules beforehand, settled by the truth afterwards, in whole thousandths of a unit."""
