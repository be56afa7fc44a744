"""Distribution of settings: a change costs in proportion to what it changes, from the operator to its application."""
