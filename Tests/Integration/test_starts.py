# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""A process of the daemon ends only when told, or for a stated reason: signals at any moment of its start, descriptors that it was not given."""

import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import time

from fleet import parse_options, run_tests, wait_until
from recordsplatform import CONFIGURATION, Endpoint, Hosts, Store

SIGNALLED_STARTS = 210
STOPPED_STARTS = 70
LATEST_MOMENT_SECONDS = 0.040
# Libraries that only the daemon needs: once one of them is loaded, the process has run instructions of ours.
DAEMON_LIBRARIES = ("libcurl", "libmicrohttpd", "libACE", "libkj", "libcapnp", "libyokepond")
OPTIONS = parse_options()


class OneHost:
    """A host that is started again and again before a store with one endpoint."""

    def __init__(self, extra_settings=""):
        self.store = Store()
        self.app = Endpoint("i-a1")
        self.store.put("op", "config", CONFIGURATION)
        self.store.put("servers", self.app.name, self.app.row("app"))
        self.hosts = Hosts(OPTIONS.bin, [self.store.address], extra_settings)
        self.hosts.wait_ready()
        self.kill()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.store.closing.set()
        self.kill()

    @property
    def process(self):
        return self.hosts.processes[0]

    def kill(self):
        self.process.kill()
        self.process.wait()

    def settings(self):
        return pathlib.Path(self.hosts.directory) / "h0.ini"

    def log_size(self):
        return len(self.hosts.log(0))

    def events(self, since):
        return [entry["event"] for entry in self.hosts.log(0)[since:]]

    def wait_for_event(self, event, since):
        """Waits until the host has logged the event; returns whether it did before its process ended."""
        wait_until(lambda: event in self.events(since) or self.process.poll() is not None, f"event {event}", 30)
        return self.process.poll() is None


def ran_own_instructions(pid):
    """Returns whether a process ignores SIGPIPE already, or has loaded more than what a program needs to take signals over."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        ignored = int(next(line for line in status.splitlines() if line.startswith("SigIgn:")).split()[1], 16)
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text(encoding="ascii")
    except (OSError, StopIteration):
        return True
    return bool(ignored & 1 << (signal.SIGPIPE - 1)) or any(library in maps for library in DAEMON_LIBRARIES)


def needed_libraries():
    """Returns the names of the libraries that are loaded before the program's first instruction."""
    output = subprocess.run([os.path.join(OPTIONS.bin, "yokepondd")], env={"LD_TRACE_LOADED_OBJECTS": "1"}, capture_output=True, text=True, check=True)
    return [line.split()[0] for line in output.stdout.splitlines()]


def is_sanitized():
    return any(name.startswith("libasan") for name in needed_libraries())


def test_signals_at_every_moment_of_a_start_do_no_harm():
    """Guards against hosts that end when the platform says SIGHUP within the first 16 ms, before the daemon had taken the signals over.

    An early SIGHUP is kept until the loop runs, and the settings are read again then.
    """
    generator = random.Random(OPTIONS.seed)
    effects = {signal.SIGHUP: "settings-reloaded", signal.SIGUSR1: "dump", signal.SIGPIPE: "started"}
    ended, before_first_instruction = [], 0
    with OneHost() as host:
        for number in range(SIGNALLED_STARTS):
            sent = list(effects)[number % len(effects)]
            moment = generator.uniform(0, LATEST_MOMENT_SECONDS)
            since = host.log_size()
            host.hosts.start(0)
            time.sleep(moment)
            judged = ran_own_instructions(host.process.pid)
            host.process.send_signal(sent)
            if not host.wait_for_event("started", since) or not host.wait_for_event(effects[sent], since):
                if judged:
                    ended.append((sent.name, round(moment * 1000, 1), host.process.returncode))
                else:
                    before_first_instruction += 1
            host.kill()
    print(f"seed {OPTIONS.seed}: {SIGNALLED_STARTS} starts, {len(ended)} ended, {before_first_instruction} ended before their first instruction")
    assert not ended, f"{len(ended)} of {SIGNALLED_STARTS} ended: {ended}"


def test_signals_are_taken_over_before_the_libraries_are_loaded():
    """Guards against a program that loads 70 libraries, for 15 ms, before its first instruction can take the signals over."""
    early = [name for name in needed_libraries() if any(library in name for library in DAEMON_LIBRARIES)]
    assert not early, early


def test_sigterm_at_every_moment_of_a_start_ends_it_with_zero():
    """Guards against hosts that end by SIGTERM itself, as if they had failed, when they are stopped within their start."""
    generator = random.Random(OPTIONS.seed + 1)
    failed = []
    with OneHost() as host:
        for _ in range(STOPPED_STARTS):
            moment = generator.uniform(0, LATEST_MOMENT_SECONDS)
            host.hosts.start(0)
            time.sleep(moment)
            judged = ran_own_instructions(host.process.pid)
            host.process.send_signal(signal.SIGTERM)
            code = host.process.wait(timeout=20)
            if code != 0 and (judged or code != -signal.SIGTERM):
                failed.append((round(moment * 1000, 1), code))
    print(f"seed {OPTIONS.seed}: {STOPPED_STARTS} starts, {len(failed)} did not end with 0")
    assert not failed, f"{len(failed)} of {STOPPED_STARTS}: {failed}"


def test_signals_without_a_meaning_end_no_host():
    """Guards against hosts that end by a signal which says nothing to them, such as SIGXFSZ of a log file at its largest size."""
    ended = []
    with OneHost() as host:
        for sent in (signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM, signal.SIGPROF, signal.SIGIO, signal.SIGXFSZ, signal.SIGXCPU,
                     signal.SIGPWR, signal.SIGPIPE, signal.SIGSTKFLT):
            since = host.log_size()
            host.hosts.start(0)
            host.wait_for_event("started", since)
            host.process.send_signal(sent)
            host.process.send_signal(signal.SIGUSR1)
            if not host.wait_for_event("dump", since):
                ended.append(sent.name)
            host.kill()
    assert not ended, ended


def test_check_is_interruptible():
    """A command that only checks the settings ends by Ctrl-C, here while it waits for its file, a pipe that nobody writes to."""
    with OneHost() as host:
        pipe = host.settings().with_name("pipe.ini")
        os.mkfifo(pipe)
        for sent in (signal.SIGINT, signal.SIGTERM):
            with subprocess.Popen([os.path.join(OPTIONS.bin, "yokepondd"), "--check", "--config", str(pipe)]) as process:
                time.sleep(0.5)
                process.send_signal(sent)
                assert process.wait(timeout=5) == -sent


def close_descriptors(missing):
    return lambda: [os.close(descriptor) for descriptor in missing]


def test_missing_standard_descriptors_do_no_harm():
    """Guards against hosts that never get ready when they are started without standard input, output or error: sockets took their numbers."""
    failed = []
    with OneHost() as host:
        for missing in ([0], [1], [2], [0, 1], [1, 2], [0, 2], [0, 1, 2]):
            host.hosts.processes[0] = subprocess.Popen([os.path.join(OPTIONS.bin, "yokepondd"), "--config", str(host.settings())],
                                                       stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                                                       preexec_fn=close_descriptors(missing))
            try:
                wait_until(lambda: host.hosts.ready(0), f"readiness without {missing}", 10)
                targets = [os.readlink(f"/proc/{host.process.pid}/fd/{descriptor}") for descriptor in range(3)]
                if targets != ["/dev/null"] * 3:
                    failed.append((missing, targets))
            except AssertionError as failure:
                failed.append((missing, str(failure)))
            host.kill()
    assert not failed, failed


class Output:
    """A standard output of a kind that can harm its writer."""

    def __init__(self, kind, directory):
        self.reader = None
        self.size_limit = None
        if kind == "full device":
            self.writer = os.open("/dev/full", os.O_WRONLY)
        elif kind == "file at its limit":
            self.writer = os.open(os.path.join(directory, "limited.log"), os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
            self.size_limit = 2048
        else:
            self.reader, self.writer = os.pipe()
            if kind == "closed pipe":
                os.close(self.reader)
                self.reader = None
            else:
                self.fill()
                os.set_blocking(self.writer, kind != "unread pipe that does not block")

    def fill(self):
        os.set_blocking(self.writer, False)
        try:
            while True:
                os.write(self.writer, b"x" * 4096)
        except BlockingIOError:
            return

    def limit_size(self):
        if self.size_limit is not None:
            resource.setrlimit(resource.RLIMIT_FSIZE, (self.size_limit, self.size_limit))

    def close(self):
        os.close(self.writer)
        if self.reader is not None:
            os.close(self.reader)


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def judge_output(host, kind):
    """Returns what is wrong with a host whose standard output is of the kind, or nothing."""
    output = Output(kind, host.hosts.directory)
    host.hosts.processes[0] = subprocess.Popen([os.path.join(OPTIONS.bin, "yokepondd"), "--config", str(host.settings())],
                                               stdout=output.writer, stderr=subprocess.DEVNULL, preexec_fn=output.limit_size)
    try:
        wait_until(lambda: host.hosts.ready(0) or host.process.poll() is not None, "readiness", 20)
        for number in range(30):
            if host.process.poll() is not None:
                return f"ended with {host.process.returncode}"
            host.hosts.send(0, "POST", "/once/x", f"{kind}-{number}")
        used = processor_seconds(host.process.pid)
        time.sleep(1)
        used = processor_seconds(host.process.pid) - used
        if used > 0.5:
            return f"took {used} s of processor time in a second"
        host.process.terminate()
        code = host.process.wait(timeout=10)
        return None if code == 0 else f"ended with {code}"
    except (AssertionError, subprocess.TimeoutExpired, OSError) as failure:
        return str(failure)
    finally:
        host.kill()
        output.close()


def test_no_standard_output_ends_or_holds_a_host():
    """Guards against hosts that never end a stop when nobody reads their log, or that end when their log cannot be written."""
    with OneHost() as host:
        kinds = ("closed pipe", "full device", "file at its limit", "unread pipe", "unread pipe that does not block")
        failed = {kind: wrong for kind in kinds if (wrong := judge_output(host, kind))}
    assert not failed, failed


def test_a_fault_leaves_a_line_and_stays_the_exit_status():
    """Guards against hosts that end without a word of why. In a sanitized build the sanitizer's own report takes the line's place."""
    with OneHost() as host:
        for sent in (signal.SIGSEGV, signal.SIGBUS, signal.SIGFPE, signal.SIGILL, signal.SIGABRT):
            with open(os.path.join(host.hosts.directory, "errors"), "w+b") as errors:
                host.hosts.processes[0] = subprocess.Popen([os.path.join(OPTIONS.bin, "yokepondd"), "--config", str(host.settings())],
                                                           stdout=subprocess.DEVNULL, stderr=errors)
                wait_until(lambda: host.hosts.ready(0), "readiness")
                host.process.send_signal(sent)
                code = host.process.wait(timeout=20)
                errors.seek(0)
                text = errors.read().decode(errors="replace")
            if "AddressSanitizer" in text and is_sanitized():
                continue
            lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
            assert code == -sent, (sent.name, code)
            assert [(line["event"], line["signal"], line["host"], line["thread"], line["sender"]) for line in lines] == [
                ("process-ends", sent.name, "h0", "decisions", os.getpid())], (sent.name, text)


def test_a_start_waits_for_its_port():
    """Guards against hosts that end when the process before them still holds their port for a moment."""
    with OneHost() as host:
        for address in (host.hosts.callers[0], host.hosts.operators[0]):
            ip, port = address.split(":")
            with socket.socket() as taken:
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                taken.bind((ip, int(port)))
                taken.listen()
                host.hosts.start(0)
                time.sleep(1)
                assert host.process.poll() is None, host.process.returncode
            wait_until(lambda: host.hosts.ready(0), "readiness")
            host.kill()


def test_a_start_that_waits_for_its_port_ends_when_told():
    with OneHost() as host, socket.socket() as taken:
        ip, port = host.hosts.callers[0].split(":")
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        taken.bind((ip, int(port)))
        taken.listen()
        host.hosts.start(0)
        time.sleep(1)
        host.process.terminate()
        assert host.process.wait(timeout=5) == 0


def test_a_start_waits_for_whole_settings():
    """Guards against hosts that end when the platform has not written their settings yet, or only half of them."""
    with OneHost() as host:
        settings = host.settings()
        whole = settings.read_text(encoding="utf-8")
        settings.unlink()
        host.hosts.start(0)
        time.sleep(0.5)
        settings.write_text(whole[:whole.index("[platform]")], encoding="utf-8")
        time.sleep(0.5)
        settings.write_text(whole, encoding="utf-8")
        wait_until(lambda: host.hosts.ready(0) or host.process.poll() is not None, "readiness")
        assert host.process.poll() is None, host.process.returncode


def test_wrong_settings_end_a_start_with_their_place():
    """Settings that stay wrong end the process with exit code 1 and the error: file, line and what to do."""
    with OneHost() as host:
        settings = host.settings().with_name("wrong.ini")
        settings.write_text("[host]\nname = h0\ncolour = red\n", encoding="utf-8")
        ended = subprocess.run([os.path.join(OPTIONS.bin, "yokepondd"), "--config", str(settings)], capture_output=True, text=True, timeout=30, check=False)
        assert ended.returncode == 1 and str(settings) in ended.stderr, ended


def test_a_start_without_its_store_does_not_end():
    with OneHost() as host:
        host.store.down = True
        host.hosts.start(0)
        time.sleep(2)
        assert host.process.poll() is None, host.process.returncode
        host.store.down = False
        wait_until(lambda: host.hosts.ready(0), "readiness")


def occupy_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, max(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1])))
    null = os.open(os.devnull, os.O_RDONLY)
    for descriptor in range(3, 1100):
        os.dup2(null, descriptor)


def test_inherited_descriptors_do_no_harm():
    """Guards against hosts that end when the program which starts them leaves all descriptors below 1,024 open to them."""
    with OneHost() as host:
        host.hosts.processes[0] = subprocess.Popen([os.path.join(OPTIONS.bin, "yokepondd"), "--config", str(host.settings())],
                                                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, close_fds=False, preexec_fn=occupy_descriptors)
        wait_until(lambda: host.hosts.ready(0) or host.process.poll() is not None, "readiness")
        assert host.process.poll() is None, host.process.returncode


if __name__ == "__main__":
    run_tests(globals())
