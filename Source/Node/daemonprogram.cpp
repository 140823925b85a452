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
#include <sys/resource.h>

namespace Yokepond::Node {

namespace {

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

int runDaemon(Settings settings, SettingsFile file)
{
    Daemon daemon(std::move(settings), std::move(file));
    if (absl::Status status = daemon.start(); !status.ok()) {
        return reportError(status);
    }
    return daemon.run();
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
    if (values.contains("check")) {
        Base::releaseSignals();
    } else {
        Base::endOnStopSignals();
    }
    SettingsFile file(values["config"].as<std::string>());
    auto settings = file.load();
    if (!settings.ok()) {
        return reportError(settings.status());
    }
    if (values.contains("check")) {
        fmt::print("{}: the settings are valid\n", values["config"].as<std::string>());
        return Base::exitOk;
    }
    Base::configureLog(settings->logLevel, settings->name);
    Base::setCrashReportHost(settings->name);
    raiseDescriptorLimit();
    Base::startLogWriter();
    const int code = runDaemon(std::move(*settings), std::move(file));
    Base::endLogWriter();
    return code;
}

} // namespace Yokepond::Node
