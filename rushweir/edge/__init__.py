"""The platform's ingress: HTTP/1.1 to clients, backends and discovery, bare datagrams between ingresses.

The parts here speak; ``rushweir.ingress`` joins them and ``rushweir.policy`` decides.
``python -m rushweir.edge`` runs it.
"""
