// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Tool/completion.h"

#include "Configuration/schema.h"
#include "Language/statement.h"

#include <fmt/format.h>

namespace Yokepond::Tool {

namespace {

template<typename Table>
std::string joinNames(const Table &table)
{
    std::string text;
    for (const auto &[value, name] : table) {
        text += text.empty() ? "" : " ";
        text += name;
    }
    return text;
}

} // namespace

std::string bashCompletion()
{
    return fmt::format(R"(_yokepond() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" before="${{COMP_WORDS[COMP_CWORD-1]}}"
    case "$before" in
    yokepond) COMPREPLY=($(compgen -W "query command apply watch dump completion" -- "$word")) ;;
    query|watch) COMPREPLY=($(compgen -W "show why" -- "$word")) ;;
    command) COMPREPLY=($(compgen -W "create set delete drain evacuate resume cancel release" -- "$word")) ;;
    show) COMPREPLY=($(compgen -W "{}" -- "$word")) ;;
    why) COMPREPLY=($(compgen -W "{}" -- "$word")) ;;
    create|set|delete) COMPREPLY=($(compgen -W "{}" -- "$word")) ;;
    apply) COMPREPLY=($(compgen -f -- "$word")) ;;
    --output) COMPREPLY=($(compgen -W "table json" -- "$word")) ;;
    *) COMPREPLY=($(compgen -W "--host --key --settings --output --if-revision --dry-run --reason --wait --interval" -- "$word")) ;;
    esac
}}
complete -F _yokepond yokepond
)",
                       joinNames(Language::subjectNames), joinNames(Language::whySubjectNames),
                       joinNames(Configuration::kindNames));
}

} // namespace Yokepond::Tool
