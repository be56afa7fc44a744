"""What the program costs by the size of its fleet: roles measured at several sizes, each sample in one form."""
