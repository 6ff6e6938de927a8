"""Tests of the store stand-in: compare-and-swap, lost responses, outages and leases behave as the store adapter expects."""

import json
import os
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from cluster import http  # noqa: E402
from store_standin import encode  # noqa: E402


class StoreStandIn(unittest.TestCase):
    """Each test starts a stand-in of its own on a port that the system assigns."""

    def setUp(self):
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "store_standin.py")
        self.process = subprocess.Popen([sys.executable, script], stdout=subprocess.PIPE, text=True)
        self.address = json.loads(self.process.stdout.readline())["store"]

    def tearDown(self):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def call(self, path, body):
        status, _, text = http("POST", self.address, path, json.dumps(body))
        return json.loads(text) if status == 200 else None

    def put_if_at(self, revision, value):
        key = encode("/k")
        compare = {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}
        put = {"request_put": {"key": key, "value": encode(value)}}
        return self.call("/v3/kv/txn", {"compare": [compare], "success": [put]})

    def test_compare_and_swap_accepts_one_of_two_writes(self):
        self.assertTrue(self.put_if_at(0, "a")["succeeded"])
        self.assertFalse(self.put_if_at(0, "b")["succeeded"])
        stored = self.call("/v3/kv/range", {"key": encode("/k")})["kvs"][0]
        self.assertEqual(stored["value"], encode("a"))
        self.assertTrue(self.put_if_at(int(stored["mod_revision"]), "b")["succeeded"])

    def test_write_is_applied_when_its_response_is_lost(self):
        self.call("/control", {"mode": "lose"})
        self.assertIsNone(self.put_if_at(0, "a"))
        self.call("/control", {"mode": "up"})
        self.assertEqual(len(self.call("/v3/kv/range", {"key": encode("/k")})["kvs"]), 1)

    def test_no_response_while_down(self):
        self.call("/control", {"mode": "down"})
        self.assertIsNone(self.call("/v3/kv/range", {"key": encode("/k")}))

    def test_revoking_a_lease_deletes_its_keys(self):
        lease = self.call("/v3/lease/grant", {"TTL": "10"})["ID"]
        self.call("/v3/kv/put", {"key": encode("/e"), "value": encode("1"), "lease": lease})
        self.call("/v3/lease/revoke", {"ID": lease})
        self.assertEqual(self.call("/v3/kv/range", {"key": encode("/e")})["kvs"], [])


if __name__ == "__main__":
    unittest.main()
