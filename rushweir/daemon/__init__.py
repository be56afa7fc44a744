"""One ingress as a daemon: its state folder, its operators' socket, reload, stop and handover."""
