// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/daemonprogram.h"

#include "Base/crashreport.h"
#include "Base/log.h"
#include "Base/program.h"
#include "Base/signals.h"
#include "Base/text.h"
#include "Node/daemon.h"
#include "Node/settings.h"

#include <fmt/format.h>
#include <malloc.h>
#include <sys/resource.h>

#include <memory>
#include <system_error>
#include <thread>
#include <utility>

namespace Yokepond::Node {

namespace {

constexpr Base::Duration startRetryPeriod = std::chrono::milliseconds(100);
/// The process that ran here before may still hold its addresses while it stops.
constexpr Base::Duration addressInUseLimit = std::chrono::seconds(20);
/// The platform may still be writing the settings file.
constexpr Base::Duration incompleteSettingsLimit = std::chrono::seconds(5);

int reportError(const absl::Status &error)
{
    fmt::print(stderr, "yokepondd: {}\n", Base::messageOf(error));
    return Base::exitFailed;
}

/// Raises the limit of open file descriptors to its maximum, since each open call uses two: one for the caller and one for the
/// endpoint.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/// Memory blocks from this size on have a mapping of their own, which goes back to the system when they are freed. glibc begins
/// with twice as much, and raises it with each mapping that is freed, so that heaps keep the room of requests' bodies.
constexpr int mappedBlockBytes = 64 << 10;

/// Calls @p attempt until it returns an OK status, but not longer than @p limit, and returns its last status. A stop that the
/// process is told in between ends it.
template<typename Attempt>
auto repeatUntilOk(Base::Duration limit, Attempt attempt)
{
    const Base::Instant begun = Base::now();
    auto result = attempt();
    for (bool told = false; !result.ok() && Base::now() - begun < limit; result = attempt()) {
        if (!std::exchange(told, true)) {
            const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
            fmt::print(stderr, "yokepondd: {}; tried again for {} s\n", Base::messageOf(result.status()), seconds);
        }
        Base::endOnStopSignals();
        std::this_thread::sleep_for(startRetryPeriod);
    }
    return result;
}

/// Returns a daemon that listens. Fails also if the system has no thread for it.
absl::StatusOr<std::unique_ptr<Daemon>> startDaemon(const Settings &settings, const SettingsFile &file)
{
    try {
        auto daemon = std::make_unique<Daemon>(settings, file);
        if (absl::Status status = daemon->start(); !status.ok()) {
            return status;
        }
        return daemon;
    } catch (const std::system_error &error) {
        return makeError(Base::ErrorKind::Internal,
                         fmt::format("cannot start: {}; check the limits of the process", error.what()));
    }
}

int runDaemon(const Settings &settings, const SettingsFile &file)
{
    auto daemon = repeatUntilOk(addressInUseLimit, [&] { return startDaemon(settings, file); });
    return daemon.ok() ? (*daemon)->run() : reportError(daemon.status());
}

} // namespace

int runDaemonProgram(int argc, const char *const *argv)
{
    Base::installCrashReports();
    const Base::CrashReportThread thread("decisions");
    namespace options = boost::program_options;
    options::options_description description("Options");
    description.add_options()("config,c", options::value<std::string>()->required(),
                              "settings file (INI)")("check", "only check the settings");
    options::variables_map values;
    const Base::ProgramInfo info {"yokepondd", "routes language-model requests with service levels and priorities",
                                  "--config FILE [--check]",
                                  "  yokepondd --config /etc/yokepond/yokepondd.ini\n  yokepondd --config FILE --check\n"};
    if (const auto code = Base::parseCommandLine(info, argc, argv, description, {}, values)) {
        return *code;
    }
    const bool isCheck = values.contains("check");
    if (isCheck) {
        Base::releaseSignals();
    } else {
        Base::endOnStopSignals();
    }
    SettingsFile file(values["config"].as<std::string>());
    auto settings = repeatUntilOk(isCheck ? Base::Duration::zero() : incompleteSettingsLimit, [&file] { return file.load(); });
    if (!settings.ok()) {
        return reportError(settings.status());
    }
    if (isCheck) {
        fmt::print("{}: the settings are valid\n", values["config"].as<std::string>());
        return Base::exitOk;
    }
    Base::configureLog(settings->logLevel, settings->name);
    Base::setCrashReportHost(settings->name);
    raiseDescriptorLimit();
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    Base::startLogWriter();
    const int code = runDaemon(*settings, file);
    Base::endLogWriter();
    return code;
}

} // namespace Yokepond::Node
