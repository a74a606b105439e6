"""Settings and machine types of the operators' deployments, as far as the cases need them."""

# more/hunt/kerbrev-hunt.toml, with three of its five controllers.
KERBREV = {
    "nodes": 3,
    "zones": ["lorient", "rennes", "brest", "vannes"],
    "clock_off_ms": 1000.0,
    "teams": [
        {"name": "juristes", "cpus": 7000.0, "cpus_max": 18000.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "traducteurs", "cpus": 5000.0, "cpus_max": 20000.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "produit", "cpus": 7000.0, "cpus_max": 30000.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "support", "cpus": 3000.0, "cpus_max": 9000.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [
        {"kind": "finished", "class": "rendu", "within_s": 180.0, "share": 0.985},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.97},
    ],
    "workers": {"report_s": 3.0, "lease_s": 17.5, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 47.5},
    "state": {"rps": 500.0, "write_rps": 200.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 10.0, "list_lag_s": 10.0},
    "limits": {"cores": 0.52, "ram_mb": 188.0, "max_sockets": 2593},
}

KERBREV_TYPES = [
    {"name": "poste", "cores": 32.0, "cards": 0.0, "ramGb": 64.0, "localGb": 40.0, "fetchGbPerS": 0.5,
     "hourly": 1.52, "spotPrice": 0.44, "bootS": 15.0, "sites": ["rennes", "brest"]},
    {"name": "lourd", "cores": 64.0, "cards": 0.0, "ramGb": 256.0, "localGb": 60.0, "fetchGbPerS": 0.6,
     "hourly": 3.42, "spotPrice": 0.94, "bootS": 50.0, "sites": ["lorient", "rennes", "brest", "vannes"]},
]

# sites/solsocial.toml.
SOLSOCIAL = {
    "nodes": 3,
    "zones": ["hermosillo", "istmo", "merida", "sede"],
    "clock_off_ms": 25.0,
    "teams": [{"name": f"laboratorio-{i:02}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
              for i in range(12)],
    "objectives": [
        {"kind": "deadline", "class": "barrido", "share": 0.95, "times": 1.0},
        {"kind": "finished", "class": "armonicos", "within_s": 90.0, "share": 0.85},
    ],
    "workers": {"report_s": 3.0, "lease_s": 42.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 67.0},
    "state": {"rps": 80.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
    "cloud": {"rps": 4.0, "list_lag_s": 10.0},
    "limits": {"cores": 0.08, "ram_mb": 200.0, "max_sockets": 4000},
}

SOLSOCIAL_TYPES = [
    {"name": "banco", "cores": 8.0, "cards": 0.0, "ramGb": 16.0, "localGb": 60.0, "fetchGbPerS": 0.2,
     "hourly": 0.55, "spotPrice": 0.27, "bootS": 20.0, "sites": ["istmo", "hermosillo", "merida"]},
    {"name": "servidor", "cores": 64.0, "cards": 0.0, "ramGb": 256.0, "localGb": 70.0, "fetchGbPerS": 0.25,
     "hourly": 4.95, "spotPrice": 2.01, "bootS": 20.0, "sites": ["merida", "istmo", "hermosillo", "sede"]},
]

# more/hunt/solsocial-hunt.toml: the same operator, grown.
SOLSOCIAL_GROWN = SOLSOCIAL | {
    "workers": {"report_s": 8.0, "lease_s": 42.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 67.0},
    "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
    "limits": {"cores": 0.072, "ram_mb": 188.0, "max_sockets": 3473},
}

# sites/kerbrev.toml: the first brief.
KERBREV_FIRST = KERBREV | {
    "teams": [
        {"name": "juristes", "cpus": 408.0, "cpus_max": 1016.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "traducteurs", "cpus": 304.0, "cpus_max": 1224.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "produit", "cpus": 408.0, "cpus_max": 1624.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "support", "cpus": 160.0, "cpus_max": 512.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [
        {"kind": "finished", "class": "rendu", "within_s": 120.0, "share": 0.88},
        {"kind": "deadline", "class": "controle", "share": 0.98, "times": 1.0},
        {"kind": "wait", "class": "controle", "within_s": 2.0, "share": 0.85},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.97},
    ],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 40.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 5.0, "list_lag_s": 10.0},
    "limits": {"cores": 0.16, "ram_mb": 56.0, "max_sockets": 800},
}
