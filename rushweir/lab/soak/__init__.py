"""Seeded plays of shutdowns: processes of ``rushweir serve`` or the platform's ``run``, judged by the checker."""
