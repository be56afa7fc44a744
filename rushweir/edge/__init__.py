"""The platform's ingress: HTTP/1.1 to clients, backends and discovery, and unsealed datagrams between ingresses.

This package implements the protocols, ``rushweir.ingress`` connects them and ``rushweir.policy`` decides.
``python -m rushweir.edge`` runs an ingress.
"""
