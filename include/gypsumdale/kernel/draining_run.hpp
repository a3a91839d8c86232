#pragma once

#include <gypsumdale/kernel/request_context.hpp>
#include <gypsumdale/serving/stop_schedule.hpp>

#include <cstdint> // uint32_t
#include <optional> // optional
#include <string> // string

namespace gypsumdale {

/// A run that a process may begin while it drains.
struct DrainingRun
{
    /// Tokens that the answer may have; 0 for a plain service.
    std::uint32_t m_answerTokens = 0;
};

/// Returns the requests that a request's length is known from, those of the same profile and
/// service.
ServingRoute lengthsOf(const RequestContext &context);

/// Returns when a run ends, as far as that is known. `recent` tells how long the last ones took.
/// Where nothing is known, an answer is expected to be as long as its request allows and to come
/// with the pauses of the profile's targets. Of a request that must not run
/// twice even the longest has to fit, or its whole deadline if nothing is known: if it is cut, its
/// caller can't know whether it has run, whereas a refusal lets it go to another VM. Late in a stop
/// only the deadline counts for it, and for the answer of a model. Complexity: constant.
ExpectedEnd expectedEndOf(const RequestContext &context, const DrainingRun &run,
                          const std::optional<DurationForecast> &recent);

} // namespace gypsumdale
