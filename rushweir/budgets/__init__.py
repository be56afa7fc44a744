"""Budgets shared by all ingresses: leases never add up to more than a budget's total. No I/O, no clock."""
