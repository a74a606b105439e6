"""Numbers of the operators' site files (names as on the wire), with fewer machines where a case needs fewer."""


def machine_type(name, cores, ram, hourly, spot, boot, fetch, cache, sites):
    return {"name": name, "cores": cores, "cards": 0.0, "ramGb": ram, "localGb": cache, "fetchGbPerS": fetch,
            "hourly": hourly, "spotPrice": spot, "bootS": boot, "sites": sites}


def kerbrev_fleet(machines):
    """kit/more/fleet/kerbrev-fleet.toml."""
    return {
        "nodes": 5, "zones": ["lorient", "rennes", "brest", "vannes"], "cores": 0.52, "ram_mb": 188.0,
        "max_sockets": 2593,
        "objectives": [
            {"kind": "finished", "class": "rendu", "within_s": 180.0, "share": 0.985},
            {"kind": "finished", "class": "rendu", "within_s": 300.0, "share": 0.992},
            {"kind": "finished", "class": "traduction", "within_s": 200.0, "share": 0.96},
            {"kind": "finished", "class": "traduction", "within_s": 300.0, "share": 0.992},
            {"kind": "deadline", "class": "controle", "share": 0.995, "times": 1.0},
            {"kind": "deadline", "class": "controle", "share": 0.997, "times": 1.5},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.97},
            {"kind": "wait", "class": "rendu", "within_s": 150.0, "share": 0.992},
            {"kind": "wait", "class": "traduction", "within_s": 180.0, "share": 0.998},
            {"kind": "wait", "class": "controle", "within_s": 50.0, "share": 0.997},
            {"kind": "finished", "class": "controle", "within_s": 70.0, "share": 0.997},
        ],
        "state": {"rps": 500.0, "write_rps": 200.0, "value_kb": 16.0, "txn_ops": 16, "latency_s": 0.004},
        "cloud": {"rps": 10.0, "list_lag_s": 10.0},
        "workers": {"report_s": 3.0, "lease_s": 17.5, "cancel_s": 47.5},
        "types": [machine_type("poste", 32.0, 64.0, 1.52, 0.44, 15.0, 0.5, 40.0, ["rennes", "brest"]),
                  machine_type("lourd", 64.0, 256.0, 3.42, 0.94, 50.0, 0.6, 60.0,
                               ["lorient", "rennes", "brest", "vannes"])],
        "capacity": {("poste", "rennes"): 162, ("poste", "brest"): 152, ("lourd", "lorient"): 32,
                     ("lourd", "rennes"): 32, ("lourd", "brest"): 29, ("lourd", "vannes"): 29},
        "boot_s": {"poste": 15.0, "lourd": 50.0},
        "teams": [("juristes", 7000.0, 18000.0), ("traducteurs", 5000.0, 20000.0), ("produit", 7000.0, 30000.0),
                  ("support", 3000.0, 9000.0)],
        "machines": machines,
    }


def kerbrev(machines):
    """kit/sites/kerbrev.toml."""
    return {
        "nodes": 3, "zones": ["lorient", "rennes", "brest", "vannes"], "cores": 0.16, "ram_mb": 56.0, "max_sockets": 800,
        "objectives": [
            {"kind": "finished", "class": "rendu", "within_s": 120.0, "share": 0.88},
            {"kind": "finished", "class": "rendu", "within_s": 250.0, "share": 0.95},
            {"kind": "finished", "class": "traduction", "within_s": 250.0, "share": 0.985},
            {"kind": "finished", "class": "traduction", "within_s": 400.0, "share": 0.985},
            {"kind": "deadline", "class": "controle", "share": 0.98, "times": 1.0},
            {"kind": "deadline", "class": "controle", "share": 0.98, "times": 1.5},
            {"kind": "wait", "class": "controle", "within_s": 2.0, "share": 0.85},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.97},
        ],
        "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 16, "latency_s": 0.004},
        "cloud": {"rps": 5.0, "list_lag_s": 10.0},
        "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 40.0},
        "types": [machine_type("poste", 32.0, 64.0, 1.52, 0.44, 15.0, 0.5, 40.0, ["rennes", "brest"]),
                  machine_type("lourd", 64.0, 256.0, 3.42, 0.94, 50.0, 0.6, 60.0,
                               ["lorient", "rennes", "brest", "vannes"])],
        "capacity": {("poste", "rennes"): 10, ("poste", "brest"): 9, ("lourd", "lorient"): 2,
                     ("lourd", "rennes"): 2, ("lourd", "brest"): 2, ("lourd", "vannes"): 2},
        "boot_s": {"poste": 15.0, "lourd": 50.0},
        "teams": [("juristes", 408.0, 1016.0), ("traducteurs", 304.0, 1224.0), ("produit", 408.0, 1624.0),
                  ("support", 160.0, 512.0)],
        "machines": machines,
    }


def solsocial(machines, nodes=3):
    """kit/sites/solsocial.toml; kit/more/fleet/solsocial-fleet.toml differs in rates and in `report_s`."""
    zones = ["merida", "istmo", "hermosillo", "sede"]
    return {
        "nodes": nodes, "zones": zones, "cores": 0.08, "ram_mb": 200.0, "max_sockets": 4000,
        "objectives": [
            {"kind": "deadline", "class": "barrido", "share": 0.95, "times": 1.0},
            {"kind": "finished", "class": "armonicos", "within_s": 90.0, "share": 0.85},
            {"kind": "finished", "class": "armonicos", "within_s": 180.0, "share": 0.94},
        ],
        "state": {"rps": 80.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20, "latency_s": 0.004},
        "cloud": {"rps": 4.0, "list_lag_s": 10.0},
        "workers": {"report_s": 3.0, "lease_s": 42.0, "cancel_s": 67.0},
        "types": [machine_type("banco", 8.0, 16.0, 0.55, 0.27, 20.0, 0.5, 40.0, zones),
                  machine_type("servidor", 64.0, 256.0, 4.95, 2.01, 20.0, 0.6, 60.0, zones)],
        "capacity": {(t, z): 8 for t in ("banco", "servidor") for z in zones},
        "boot_s": {"banco": 20.0, "servidor": 20.0},
        "teams": [(f"laboratorio-{i:02d}", 0.0, 0.0) for i in range(12)],
        "machines": machines,
    }
