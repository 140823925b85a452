// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/routing.h"

#include "Base/error.h"
#include "Base/hash.h"

#include <numeric>
#include <ranges>

namespace Yokepond::Node {

namespace {

using Base::ErrorKind;
using Base::makeError;
using Configuration::Catalogue;
using Configuration::RequestClass;
using Configuration::Route;
using Configuration::RouteShare;

/// Selects a class by the weights of the route's shares and a hash of @p requestName, so that each attempt of a request with the
/// same name, and each request that continues its stream, gets the same class.
const RequestClass *selectClassByWeight(const Catalogue &catalogue, const Route &route, std::string_view requestName)
{
    const auto weights = route.shares | std::views::transform(&RouteShare::weight);
    const std::uint64_t total = std::accumulate(weights.begin(), weights.end(), std::uint64_t {0});
    if (total == 0) {
        return catalogue.classByNumber(route.shares.front().requestClass);
    }
    std::uint64_t point = Base::hash64(requestName) % total;
    for (const RouteShare &share : route.shares) {
        if (point < share.weight) {
            return catalogue.classByNumber(share.requestClass);
        }
        point -= share.weight;
    }
    return catalogue.classByNumber(route.shares.back().requestClass);
}

} // namespace

absl::StatusOr<RoutedRequest> routeRequest(const Catalogue &catalogue, const Relay::CallArrived &call)
{
    if (catalogue.revision() == 0) {
        return makeError(ErrorKind::NotReady, "this host has no configuration yet; retry at another host");
    }
    if (!call.error.ok()) {
        return call.error;
    }
    const Route *route = catalogue.routeFor(call.host, call.path);
    if (route == nullptr) {
        return makeError(ErrorKind::NotFound, "no route of this host name matches the path");
    }
    RoutedRequest routed;
    const bool keyRequired = !route->isPublic && !catalogue.organisations().empty();
    if (keyRequired) {
        routed.organisation = call.keyDigest.empty() ? nullptr : catalogue.organisationByKey(call.keyDigest);
        if (routed.organisation == nullptr) {
            return makeError(ErrorKind::Unauthenticated, "the request has no valid key of an organisation");
        }
    }
    const std::string &firstRequestId = call.resumedRequestId.empty() ? call.callerRequestId : call.resumedRequestId;
    routed.requestClass = selectClassByWeight(catalogue, *route, firstRequestId);
    return routed;
}

} // namespace Yokepond::Node
