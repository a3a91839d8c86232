#include <support/job_trial.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gypsumdale::testing;

// Guards against actions of a node that is the only one without access to the platform.
TEST_CASE("jobs survive what is promised while nodes alone lose the platform", "[fuzz][jobs]")
{
    checkJobs(rc::gen::weightedElement<Act>({
            {6, Act::Offer},        {10, Act::Generate},
            {4, Act::GenerateAll},  {12, Act::Step},
            {10, Act::Deliver},     {3, Act::Duplicate},
            {2, Act::Drop},         {8, Act::Flush},
            {8, Act::Read},         {8, Act::Settle},
            {3, Act::PlatformDown}, {3, Act::PlatformUp},
            {2, Act::NoticeVm},     {1, Act::NoticeDataCentre},
            {2, Act::Crash},        {1, Act::CrashWritten},
            {4, Act::Restart},      {2, Act::Pause},
            {2, Act::Suspect},      {3, Act::Resume},
            {1, Act::FailRunner},   {1, Act::TruncateRunner},
            {1, Act::LeaveRunner},  {14, Act::Poll},
            {2, Act::Pry},          {3, Act::LoseReach},
            {3, Act::FindReach},
    }));
}
