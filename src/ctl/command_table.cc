#include <array>

#include "ctl/command.h"

namespace gooseberrygap::ctl {

namespace {

// Exit codes of commands that only ask the daemon.
constexpr absl::string_view kAskExitCodes =
    "0  the daemon answered\n"
    "1  the daemon refused, or its answer could not be read\n"
    "2  wrong use of the tool\n"
    "3  the daemon could not be reached, or did not answer in time";

constexpr absl::string_view kChangeExitCodes =
    "0  done\n"
    "1  refused; nothing was changed by this request\n"
    "2  wrong use of the tool\n"
    "3  an instance could not be reached, or did not answer in time;\n"
    "   the change may have been made, which 'control status' shows";

// Exit codes of the commands that give an evacuation order.
constexpr absl::string_view kOrderExitCodes =
    "0  accepted: the order is durable, and every daemon follows it within\n"
    "   5 s\n"
    "1  refused, or not certain: repeat the command\n"
    "2  wrong use of the tool\n"
    "3  the daemon could not be reached, or did not answer in time;\n"
    "   repeat the command";

constexpr std::array<Command, 15> kCommands = {{
    {.name_ = "config check",
     .arguments_ = "FILE",
     .summary_ = "Checks a configuration without submitting it.",
     .description_ =
         "Reads the document in FILE, or standard input for '-', and\n"
         "reports every fault with its path, what was found and what is\n"
         "allowed. No daemon is needed. docs/INTERFACE.md lists the keys.",
     .exit_codes_ = "0  the document is valid\n"
                    "1  it has faults, or the file cannot be read\n"
                    "2  wrong use of the tool",
     .examples_ = "gooseberrygapctl config check site.json\n"
                  "python3 site.py | gooseberrygapctl config check -",
     .min_arguments_ = 1,
     .max_arguments_ = 1,
     .takes_submission_ = false,
     .run_ = &RunConfigCheck},
    {.name_ = "config apply",
     .arguments_ = "FILE [--submission=ID]",
     .summary_ = "Submits a configuration to the control group.",
     .description_ =
         "Checks the document in FILE, or standard input for '-', and\n"
         "submits it through the daemon. Its version must be one more than\n"
         "the version in force. When an answer is lost, or the control\n"
         "group has no leader, the same submission is repeated up to 14\n"
         "times, for at most three times --timeout_ms; this never applies\n"
         "a document twice. The tool then says whether the document was\n"
         "accepted, is a repeat of a document that had been accepted\n"
         "before (with the same index), or conflicts with another\n"
         "submission, which it names.\n"
         "\n"
         "To repeat a submission whose fate is unknown, give the ID that\n"
         "the error message names. An ID has 1 to 128 letters, digits,\n"
         "dots, colons, underscores and hyphens.",
     .exit_codes_ =
         "0  accepted, or a repeat\n"
         "1  refused: the document has faults, the group is not formed or\n"
         "   has no quorum\n"
         "2  wrong use of the tool\n"
         "3  the daemon could not be reached, or did not answer in time;\n"
         "   whether the document was accepted is unknown\n"
         "4  another document has this version, or the version does not\n"
         "   follow the one in force",
     .examples_ = "gooseberrygapctl config apply site.json\n"
                  "python3 site.py 12 | gooseberrygapctl config apply - \\\n"
                  "    --submission=ticket-4711 --daemon=10.0.0.1:8101",
     .min_arguments_ = 1,
     .max_arguments_ = 1,
     .takes_submission_ = true,
     .run_ = &RunConfigApply},
    {.name_ = "config show",
     .arguments_ = "",
     .summary_ = "Prints the configuration that the daemon applies.",
     .description_ =
         "Prints the document, with every key and keys sorted, on standard\n"
         "output, and its index on standard error. To change it, edit it,\n"
         "raise its version by one and submit it with 'config apply'.",
     .exit_codes_ =
         "0  printed\n"
         "1  the daemon knows no configuration, or its answer could not be\n"
         "   read\n"
         "2  wrong use of the tool\n"
         "3  the daemon could not be reached, or did not answer in time",
     .examples_ = "gooseberrygapctl config show > site.json",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunConfigShow},
    {.name_ = "targets",
     .arguments_ = "",
     .summary_ = "Lists the targets that the daemon knows.",
     .description_ =
         "Prints one line for each target: its name, service, instance,\n"
         "region, failure domain, slots and state (starting, serving or\n"
         "draining). A daemon knows the targets of the services that it\n"
         "calls.",
     .exit_codes_ = kAskExitCodes,
     .examples_ = "gooseberrygapctl targets\n"
                  "gooseberrygapctl --daemon=10.0.0.1:8101 targets",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunTargets},
    {.name_ = "drain",
     .arguments_ = "",
     .summary_ = "Lets the daemon's target finish and take no new work.",
     .description_ =
         "The daemon refuses new work for its target at once, tells the\n"
         "other daemons, and finishes the requests in flight. Repeating\n"
         "the command has no further effect.",
     .exit_codes_ = kAskExitCodes,
     .examples_ = "gooseberrygapctl --daemon=10.0.0.7:8101 drain",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunDrain},
    {.name_ = "counters",
     .arguments_ = "",
     .summary_ = "Prints the daemon's counters.",
     .description_ =
         "Prints one line for each counter: its name, its labels and its\n"
         "value since the daemon started. Refusals and retries have one\n"
         "counter for each reason.",
     .exit_codes_ = kAskExitCodes,
     .examples_ = "gooseberrygapctl counters | grep refusal",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunCounters},
    {.name_ = "explain",
     .arguments_ = "REQUEST_ID FILE [FILE ...]",
     .summary_ = "Shows from log files what happened to a request.",
     .description_ =
         "Joins the lines of the daemons' log files that belong to the\n"
         "request, in order of time, and prints its path, its outcome, the\n"
         "inputs that decided it with their age, and what the same daemons\n"
         "logged of themselves meanwhile. REQUEST_ID is the caller's or a\n"
         "daemon's name of the request; '-' reads standard input. No daemon\n"
         "is needed. Lines that cannot be read, and events that were\n"
         "dropped when they were logged, are counted.",
     .exit_codes_ = "0  the request was found\n"
                    "1  no line names it, or a file cannot be read\n"
                    "2  wrong use of the tool",
     .examples_ = "gooseberrygapctl explain 9c41d07be2a35f68 logs/*.log",
     .min_arguments_ = 2,
     .max_arguments_ = 4096,
     .takes_submission_ = false,
     .run_ = &RunExplain},
    {.name_ = "control form",
     .arguments_ = "ADDRESS [ADDRESS ADDRESS [ADDRESS ADDRESS]]",
     .summary_ = "Forms the control group for the first time.",
     .description_ =
         "Forms a group of 3 or 5 control instances, named by their HTTP\n"
         "addresses. First reads the status of each; nothing is changed\n"
         "when one cannot be reached or belongs to another group. When the\n"
         "command is interrupted, repeat it with the same addresses:\n"
         "instances that were formed by it are left as they are. A group\n"
         "of 1 stops at the first failure and is only for trials.\n"
         "\n"
         "Never form a second group in place of one that has lost its\n"
         "disks while a member of the first still exists: use 'control\n"
         "add'.",
     .exit_codes_ = kChangeExitCodes,
     .examples_ =
         "gooseberrygapctl control form 10.0.0.1:8101 10.0.0.2:8101 \\\n"
         "    10.0.1.1:8101",
     .min_arguments_ = 1,
     .max_arguments_ = 5,
     .takes_submission_ = false,
     .run_ = &RunControlForm},
    {.name_ = "control status",
     .arguments_ = "",
     .summary_ = "Shows what a control instance knows of its group.",
     .description_ =
         "Prints the identity, role, term, leader, commit index and\n"
         "members as the instance named by --daemon knows them. The daemon\n"
         "must have the control role.",
     .exit_codes_ = kAskExitCodes,
     .examples_ = "gooseberrygapctl --daemon=10.0.0.1:8101 control status",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunControlStatus},
    {.name_ = "quota",
     .arguments_ = "",
     .summary_ = "Shows the tenants' quotas and their use.",
     .description_ =
         "Prints each tenant that has a quota: calls per second that the\n"
         "quota allows, demand, tokens that no daemon holds, calls made and\n"
         "calls refused since the leader was elected. Those with the\n"
         "highest demand come first. The instance named by --daemon must\n"
         "lead the control group.",
     .exit_codes_ = kAskExitCodes,
     .examples_ = "gooseberrygapctl --daemon=10.0.0.1:8101 quota",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunQuota},
    {.name_ = "control add",
     .arguments_ = "ADDRESS",
     .summary_ = "Adds a control instance to the group.",
     .description_ =
         "Reads the identity of the instance at the HTTP address ADDRESS\n"
         "and asks the group, through the instance named by --daemon, to\n"
         "add it. It learns the log first and votes once it has caught up.\n"
         "The instance's data folder must be empty when it starts for the\n"
         "first time.",
     .exit_codes_ = kChangeExitCodes,
     .examples_ = "gooseberrygapctl --daemon=10.0.0.1:8101 control add "
                  "10.0.1.2:8101",
     .min_arguments_ = 1,
     .max_arguments_ = 1,
     .takes_submission_ = false,
     .run_ = &RunControlAdd},
    {.name_ = "control remove",
     .arguments_ = "IDENTITY",
     .summary_ = "Removes a member from the group.",
     .description_ =
         "Asks the group, through the instance named by --daemon, to\n"
         "remove the member with this identity, which 'control status'\n"
         "shows. Remove one member at a time, and add its replacement\n"
         "first if the group can still commit.",
     .exit_codes_ = kChangeExitCodes,
     .examples_ =
         "gooseberrygapctl --daemon=10.0.0.1:8101 control remove 8f2c61d0",
     .min_arguments_ = 1,
     .max_arguments_ = 1,
     .takes_submission_ = false,
     .run_ = &RunControlRemove},
    {.name_ = "evacuation start",
     .arguments_ = "DOMAIN",
     .summary_ = "Orders that a failure domain's targets get no requests.",
     .description_ =
         "Asks the control group, through the control instance named by\n"
         "--daemon, to evacuate the failure domain DOMAIN. Requests that are\n"
         "running there end normally. The order holds until it is withdrawn.\n"
         "A DOMAIN that no target is in is accepted, since its targets may\n"
         "come later. Repeating the command has no further effect.",
     .exit_codes_ = kOrderExitCodes,
     .examples_ =
         "gooseberrygapctl --daemon=10.0.0.1:8101 evacuation start zone-2",
     .min_arguments_ = 1,
     .max_arguments_ = 1,
     .takes_submission_ = false,
     .run_ = &RunEvacuationStart},
    {.name_ = "evacuation stop",
     .arguments_ = "DOMAIN",
     .summary_ = "Withdraws the order to evacuate a failure domain.",
     .description_ =
         "Asks the control group, through the control instance named by\n"
         "--daemon, to withdraw the order. Repeating the command has no\n"
         "further effect.",
     .exit_codes_ = kOrderExitCodes,
     .examples_ =
         "gooseberrygapctl --daemon=10.0.0.1:8101 evacuation stop zone-2",
     .min_arguments_ = 1,
     .max_arguments_ = 1,
     .takes_submission_ = false,
     .run_ = &RunEvacuationStop},
    {.name_ = "evacuation list",
     .arguments_ = "",
     .summary_ = "Lists the last order for each failure domain.",
     .description_ =
         "Prints one line for each failure domain that ever had an order:\n"
         "its name, whether it is evacuated, and the index of the order in\n"
         "the log. A majority of the control group confirms the list.",
     .exit_codes_ = kAskExitCodes,
     .examples_ = "gooseberrygapctl --daemon=10.0.0.1:8101 evacuation list",
     .min_arguments_ = 0,
     .max_arguments_ = 0,
     .takes_submission_ = false,
     .run_ = &RunEvacuationList},
}};

}  // namespace

absl::Span<const Command> Commands() {
  return kCommands;
}

}  // namespace gooseberrygap::ctl
