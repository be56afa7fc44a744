"""The size in two years, worked out from measured slopes: fits, sums, and the tables of docs/CAPACITY.md."""
