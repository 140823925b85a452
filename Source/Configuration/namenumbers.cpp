// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Configuration/namenumbers.h"

#include "Base/hash.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <set>

namespace Yokepond::Configuration {

namespace {

using TextsByNumber = std::map<std::uint32_t, std::set<std::string>>;

TextsByNumber textsByNumber(const std::vector<NumberedName> &names)
{
    TextsByNumber texts;
    std::ranges::for_each(names, [&](const NumberedName &name) { texts[name.number].insert(name.text); });
    return texts;
}

/// Returns a number for @p text that is not in @p taken, and adds it.
std::uint32_t takeNumber(std::string_view text, std::set<std::uint32_t> &taken)
{
    std::uint64_t round = 1;
    std::uint32_t number = nameNumber(text, round);
    while (!taken.insert(number).second) {
        ++round;
        number = nameNumber(text, round);
    }
    return number;
}

} // namespace

std::uint32_t nameNumber(std::string_view text, std::uint64_t round)
{
    const auto hash = static_cast<std::uint32_t>(Base::hash64(text, round));
    return hash == 0 ? 1 : hash;
}

bool haveEqualNumbers(std::vector<std::uint32_t> numbers)
{
    std::ranges::sort(numbers);
    return std::ranges::adjacent_find(numbers) != numbers.end();
}

std::vector<NameCollision> separate(std::vector<NumberedName> &names)
{
    const TextsByNumber texts = textsByNumber(names);
    std::vector<NameCollision> collisions;
    std::set<std::uint32_t> taken;
    std::set<std::string> moving;
    for (const auto &[number, collision] : texts) {
        taken.insert(number);
        if (collision.size() > 1) {
            collisions.push_back({number, {collision.begin(), collision.end()}});
            moving.insert(collision.begin(), collision.end());
        }
    }
    std::map<std::string, std::uint32_t> moved;
    std::ranges::for_each(moving, [&](const std::string &text) { moved[text] = takeNumber(text, taken); });
    for (NumberedName &name : names) {
        const auto own = moved.find(name.text);
        name.number = own == moved.end() ? name.number : own->second;
    }
    return collisions;
}

} // namespace Yokepond::Configuration
