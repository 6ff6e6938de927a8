#!/usr/bin/env python3
"""Runs every check of the project; the last line is "N passed, N failed".

A check that KNOWN-RED.txt lists is printed with its result but counted neither as passed nor as failed.
"""

import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as xml

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def sources():
    """The C++ files of the project without generated code, also those that are not yet committed."""
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "*.cpp", "*.h"], cwd=ROOT, capture_output=True, text=True,
                            check=True).stdout.split()
    return [name for name in listed if not name.endswith(".pb.h") and os.path.exists(os.path.join(ROOT, name))]


def known_failures():
    """Names of the checks that are known to fail, from the lines of KNOWN-RED.txt that begin with "red: "."""
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return set()
    with open(path) as file:
        return {line[len("red: "):].strip() for line in file if line.startswith("red: ")}


def check_format(_):
    done = subprocess.run(["clang-format-14", "--dry-run", "--Werror"] + sources(), cwd=ROOT, capture_output=True, text=True)
    return [("format", done.returncode == 0, done.stderr[-2000:])]


def check_lint(build):
    """Runs clang-tidy; each source file is a check of its own. The fuzz targets are left out."""
    files = [name for name in sources() if name.endswith(".cpp") and not name.startswith("fuzz/")]

    # clang cannot read the precompiled headers of g++.
    with open(os.path.join(build, "compile_commands.json")) as file:
        commands = json.load(file)
    for command in commands:
        command["command"] = re.sub(r"-Winvalid-pch|-include \S*cmake_pch\.hxx", "", command["command"])
    directory = os.path.join(build, "lint")
    os.makedirs(directory, exist_ok=True)
    with open(os.path.join(directory, "compile_commands.json"), "w") as file:
        json.dump(commands, file)

    def lint_file(name):
        done = subprocess.run(["clang-tidy-14", "-p", directory, "--quiet", name], cwd=ROOT, capture_output=True, text=True)
        return ("lint " + name, done.returncode == 0, done.stdout[-3000:])

    with concurrent.futures.ThreadPoolExecutor(max_workers=os.cpu_count() or 2) as pool:
        return list(pool.map(lint_file, files))


def check_generated(_):
    """The committed protobuf code equals what protoc generates from proto/."""
    with tempfile.TemporaryDirectory() as directory:
        subprocess.run(["protoc", "--proto_path=proto", "--cpp_out=" + directory, "peer.proto", "dispatch.proto"], cwd=ROOT, check=True)
        names = [proto + ending for proto in ("peer", "dispatch") for ending in (".pb.h", ".pb.cc")]
        same = all(open(os.path.join(directory, n)).read() == open(os.path.join(ROOT, "proto", n)).read() for n in names)
    return [("generated code matches proto/", same, "run: cd proto && protoc --cpp_out=. *.proto")]


def check_programs(build):
    """Runs every Catch2 program in tests/; each test case is a check of its own.

    A program that exits with an error although none of its test cases failed, or that reports no test case, counts as failed, and so
    does each program of tests/CMakeLists.txt that was not built.
    """
    directory = os.path.join(build, "tests")
    built = {n for n in os.listdir(directory) if n.endswith("_tests")}
    results = [(name + " was not built", False, "") for name in sorted(declared_programs() - built)]
    for name in sorted(built & declared_programs()):
        done = subprocess.run([os.path.join(directory, name), "-r", "junit"], cwd=ROOT, capture_output=True, text=True)
        results += program_results(name, done.returncode, done.stdout, done.stderr)
    return results


def declared_programs():
    """Names of the test programs in tests/CMakeLists.txt."""
    with open(os.path.join(ROOT, "tests", "CMakeLists.txt")) as file:
        return set(re.findall(r"^(?:cuminscale_test|add_executable)\((\w+_tests)\b", file.read(), re.M))


def program_results(name, returncode, output, errors):
    """Results of one Catch2 program from its JUnit report."""
    try:
        cases = list(xml.fromstring(output[max(output.find("<?xml"), 0):]).iter("testcase"))
    except xml.ParseError:
        cases = []
    results = []
    for case in cases:
        failures = [child for child in case if child.tag in ("failure", "error")]
        results.append((name + ": " + case.get("name"), not failures, "".join(child.text or "" for child in failures)))
    if not cases or (returncode != 0 and all(ok for _, ok, _ in results)):
        results.append((name + " ended with %d" % returncode, False, output[-1500:] + errors[-1500:]))
    return results


def check_python(build):
    """Runs the Python tests in operators/ and tools/; each test is a check of its own."""
    results = []
    for directory in ("operators", "tools"):
        path = os.path.join(ROOT, directory)
        if not os.path.isdir(path) or not any(name.startswith("test_") for name in os.listdir(path)):
            continue
        done = subprocess.run([sys.executable, "-m", "unittest", "discover", "-v", "-s", directory], cwd=ROOT, capture_output=True,
                              text=True, env=dict(os.environ, CUMINSCALE_BUILD=build))
        results += unittest_results(directory, done.returncode, done.stderr)
    return results


def unittest_results(directory, returncode, output):
    """Results of a verbose unittest run. A test with a docstring is printed over two lines, the second of which has the result."""
    results = []
    for name, result in re.findall(r"^(test\w* .*?)(?:\n.*?)? \.\.\. (ok|FAIL|ERROR)$", output, re.M):
        results.append((directory + ": " + name, result == "ok", output[-2000:]))
    ran = re.search(r"^Ran (\d+) test", output, re.M)
    if not ran or int(ran.group(1)) != len(results) or (returncode != 0 and all(ok for _, ok, _ in results)):
        results.append(("%s: unittest ended with %d" % (directory, returncode), False, output[-2000:]))
    return results


def check_model(_):
    """Checks the models in spec/, and that the verifier finds an error in each mutated model."""
    done = subprocess.run([sys.executable, "spec/check.py"], cwd=ROOT, capture_output=True, text=True)
    return model_results(done.returncode, done.stdout, done.stderr)


def model_results(returncode, output, errors):
    """Results of spec/check.py, which announces the number of its runs first."""
    results = [(m[0], m[1] == "ok", output[-2000:]) for m in re.findall(r"^model (.*): (ok|FAILED)", output, re.M)]
    announced = re.search(r"^(\d+) runs$", output, re.M)
    if not announced or int(announced.group(1)) != len(results) or (returncode != 0 and all(ok for _, ok, _ in results)):
        results.append(("models: check.py ended with %d" % returncode, False, output[-1500:] + errors[-1500:]))
    return results


def check_soak(build):
    """Runs the soak test on the real processes for 6 s with a fixed seed."""
    done = subprocess.run([sys.executable, "tools/soak.py", "--first", "1", "--seeds", "1", "--seconds", "6"], cwd=ROOT,
                          capture_output=True, text=True, env=dict(os.environ, CUMINSCALE_BUILD=build))
    return [("soak of the real processes, seed 1", done.returncode == 0, done.stdout[-2000:] + done.stderr[-2000:])]


CHECKS = {
    "format": check_format,
    "generated": check_generated,
    "programs": check_programs,
    "python": check_python,
    "model": check_model,
    "soak": check_soak,
    "lint": check_lint,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build")
    parser.add_argument("--only", choices=sorted(CHECKS), help="run one group of checks")
    args = parser.parse_args()
    build = os.path.join(ROOT, args.build)
    expected_to_fail = known_failures()
    passed = failed = 0
    for group, check in CHECKS.items():
        if args.only and group != args.only:
            continue
        results = check(build)
        ok_count = sum(1 for _, ok, _ in results if ok)
        print("%-10s %d of %d" % (group, ok_count, len(results)), flush=True)
        for name, ok, detail in results:
            if name in expected_to_fail:
                print("known red: %s (%s)" % (name, "passes now: remove it from KNOWN-RED.txt" if ok else "fails as listed"))
            elif ok:
                passed += 1
            else:
                failed += 1
                print("FAILED %s\n%s" % (name, detail))
    print("%d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
