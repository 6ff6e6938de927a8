"""Tests of explain_day.py: which log lines count as a loss, and for which reason and time window."""

import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from explain_day import losses, read_log  # noqa: E402

LOG = """built in 0.0 s; 10 lines in 2 files
  1.5000 edge-a-1 time_us=1 level=info process=edge-a-1 event=job-refused job=aa queue=q reason=shed agents=3
  2.5000 edge-a-1 time_us=2 level=info process=edge-a-1 event=job-ended job=ab queue=q answer=succeeded reason=done late=0 runs=2
  2.6000 edge-a-1 time_us=3 level=info process=edge-a-1 event=job-ended job=ac queue=q answer=succeeded reason=done late=1 runs=2
  3.9000 edge-a-1 time_us=4 level=warning process=edge-a-1 event=job-ended job=ad queue=p answer=given-up reason=deadline late=1
  4.0000 edge-a-1 time_us=5 level=info process=edge-a-1 event=run-over job=ae how=stopped reason=none
 -9.0000 edge-a-1 time_us=6 level=info process=edge-a-1 event=start incarnation=1
"""


class ExplainDay(unittest.TestCase):
    def test_losses_are_counted_by_reason_and_window(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write(LOG)
            file.flush()
            by_reason, by_window, runs = losses(read_log(file.name))
        self.assertEqual(dict(by_reason), {("q", "refused", "shed"): 1, ("q", "late", "done"): 1, ("p", "given-up", "deadline"): 1})
        self.assertEqual(by_window[0]["refused"], 1)
        self.assertEqual(by_window[2]["given-up"], 1)
        self.assertEqual(dict(runs), {("stopped", "none"): 1})


if __name__ == "__main__":
    unittest.main()
