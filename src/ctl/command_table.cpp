#include <ctl/command.hpp>

#include <algorithm> // find, find_if

namespace gypsumdale::ctl {

bool Command::takes(OptionGroup group) const
{
    return std::find(m_options.begin(), m_options.end(), group) != m_options.end();
}

const std::vector<Command> &commands()
{
    using enum OptionGroup;
    static const std::vector<Command> table = {
            {"status",
             "status",
             "Show the status of the entry VM that answers.",
             "Example:\n"
             "  gypsumctl --entry 10.0.1.4:8081 status\n",
             {Entry, Credential},
             0,
             0,
             runStatus},
            {"nodes",
             "nodes",
             "List the entry VMs and their known state.",
             "HEARD is the time since the last received report of the node.\n\n"
             "Example:\n"
             "  gypsumctl nodes\n",
             {Entry, Credential},
             0,
             0,
             runNodes},
            {"upstreams",
             "upstreams",
             "List the upstreams with their state, load and reason.",
             "Example:\n"
             "  gypsumctl upstreams\n",
             {Entry, Credential},
             0,
             0,
             runUpstreams},
            {"members",
             "members",
             "List the members with their share of the fleet.",
             "Example:\n"
             "  gypsumctl members\n",
             {Entry, Credential},
             0,
             0,
             runMembers},
            {"jobs",
             "jobs",
             "List the durable jobs and which node runs them.",
             "Example:\n"
             "  gypsumctl jobs --json\n",
             {Entry, Credential},
             0,
             0,
             runJobs},
            {"get",
             "get [KIND [NAME]]",
             "Show settings: the list, or one document.",
             "KIND is profile, fleet or member. A document is printed with its version, so that\n"
             "`apply` detects if somebody else has changed it since.\n\n"
             "Examples:\n"
             "  gypsumctl get\n"
             "  gypsumctl get profile phone > phone.yaml\n",
             {Entry, Credential},
             0,
             2,
             runGet},
            {"apply",
             "apply -f FILE... [--wait]",
             "Apply documents to the fleet.",
             "Kind and name of a document are given by its lines `kind:` and `name:`, by --kind "
             "and\n"
             "--name, or by its path, such as profile/phone.yaml.\n"
             "With a `version:` line (or --base-version) it is refused if somebody else has "
             "changed\n"
             "the object since that version; without one it replaces the current version. All "
             "files\n"
             "are checked first, and nothing is sent if any has findings.\n"
             "--wait ends when every data centre has the version in force, or at --timeout.\n\n"
             "Examples:\n"
             "  gypsumctl get profile phone > phone.yaml\n"
             "  vi phone.yaml\n"
             "  gypsumctl apply -f phone.yaml --wait --timeout 30\n",
             {Entry, Credential, Document, Version, Wait, Timeout},
             0,
             1000,
             runApply},
            {"diff",
             "diff -f FILE...",
             "Show what `apply` would change.",
             "Lines of the current version begin with '-', lines of the file with '+'.\n\n"
             "Example:\n"
             "  gypsumctl diff -f phone.yaml\n",
             {Entry, Credential, Document},
             0,
             1000,
             runDiff},
            {"watch",
             "watch KIND NAME",
             "Follow which version is in force in each data centre.",
             "Prints the rollout at each change, until --timeout; without one, until interrupted.\n"
             "\n"
             "Example:\n"
             "  gypsumctl watch profile phone --timeout 60\n",
             {Entry, Credential, Timeout},
             2,
             2,
             runWatch},
            {"check",
             "check -f FILE...",
             "Check documents locally, with the checks of the nodes.",
             "Also checks the settings file of a node, with --kind node.\n\n"
             "Examples:\n"
             "  gypsumctl check -f phone.yaml fleet.yaml\n"
             "  gypsumctl check --kind node -f olten-a-1.yaml\n",
             {Document},
             0,
             1000,
             runCheck},
            {"explain",
             "explain request|upstream|config|window ID",
             "Show decisions, with their times and reasons.",
             "Nodes keep only the latest decisions. The id of a request is in the logs and in a\n"
             "header of its answer.\n\n"
             "Examples:\n"
             "  gypsumctl explain request q-8f21\n"
             "  gypsumctl explain upstream runner-7\n\n"
             "With --log FILE, once for each machine or with a pattern, the logs of entry VMs are\n"
             "read instead (- is standard input) and merged in time order, with clock offsets\n"
             "corrected. Only logs can explain `config VERSION` and `window NUMBER`.\n\n"
             "  gypsumctl explain request f3eccc41d981904d --log entry-*.log\n",
             {Entry, Credential, Logs},
             2,
             2,
             runExplain},
            {"drain",
             "drain upstream|node ID",
             "Finish the requests in flight and accept no new ones.",
             "No request in flight is aborted. Only the node itself accepts an order to drain, so\n"
             "its own admin address must be among the entries.\n\n"
             "Examples:\n"
             "  gypsumctl drain upstream runner-7\n"
             "  gypsumctl drain node olten-a-1\n",
             {Entry, Credential},
             2,
             2,
             runDrain},
            {"quarantine",
             "quarantine [lift ID]",
             "Show what is rejected as crashing its upstreams, or lift it.",
             "Asks an entry process of the platform (--entry is its address for metrics). Each\n"
             "knows what all know. An entry is lifted for all VMs at once, and only from the\n"
             "machine of the process that is asked. Should it crash its upstreams still, it is\n"
             "found again.\n\n"
             "Examples:\n"
             "  gypsumctl quarantine --entry 10.0.1.4:9464\n"
             "  gypsumctl quarantine lift 5b0c91d2e7aa --entry 10.0.1.4:9464\n",
             {Entry},
             0,
             2,
             runQuarantine},
            {"rollouts",
             "rollouts [pause|resume|rollback NAME]",
             "Show the roll-outs of software versions, or order what becomes of one.",
             "Asks an entry process of the platform (--entry is its address for metrics), which\n"
             "passes orders on to the VM that decides. Orders are taken only from the machine of\n"
             "the process. While a roll-out is paused its time goes on, and one that has no time\n"
             "left is rolled back.\n\n"
             "Examples:\n"
             "  gypsumctl rollouts --entry 10.0.1.4:9464\n"
             "  gypsumctl rollouts rollback gypsum-llm --entry 10.0.1.4:9464\n",
             {Entry},
             0,
             2,
             runRollouts},
            {"queues",
             "queues",
             "Show which services are short of slots, and what waits for them.",
             "Asks an entry process of the platform (--entry is its address for metrics). The\n"
             "window, the waiting requests and the rejections are those of this VM alone.\n\n"
             "Example:\n"
             "  gypsumctl queues --entry 10.0.1.4:9464\n",
             {Entry},
             0,
             0,
             runQueues},
            {"keys",
             "keys new|hash",
             "Create a key, or the hash of a key for a member's document.",
             "`keys new` prints a random key. `keys hash` reads a key from standard input and\n"
             "prints its line for the list `key-hashes` of a member's document. The key itself is\n"
             "not stored.\n\n"
             "Example:\n"
             "  gypsumctl keys new > acme.key\n"
             "  gypsumctl keys hash < acme.key\n",
             {},
             1,
             1,
             runKeys},
    };
    return table;
}

const Command *findCommand(std::string_view name)
{
    const auto &table = commands();
    const auto found = std::find_if(table.begin(), table.end(), [name](const Command &command) {
        return command.m_name == name;
    });
    return found == table.end() ? nullptr : &*found;
}

} // namespace gypsumdale::ctl
