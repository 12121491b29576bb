use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::id::VoterName;
use comfreymill_types::time::Span;

use crate::command::OutputFormat;
use crate::protocol::VoterChange;

xflags::xflags! {
    /// Schedules prompt requests and batch tasks that share machines.
    cmd comfreymill {
        /// Output format: text (default) or json.
        optional --output format: OutputFormat
        /// Address of an operators' listener; may be repeated: if one node cannot
        /// answer, the next one is tried. Default: COMFREYMILL_OPERATORS (addresses
        /// separated by commas), else 127.0.0.1:7402.
        repeated --operators address: SocketAddr
        /// File with the operators' token. Default: COMFREYMILL_TOKEN_FILE, else
        /// data/operators.token if it exists.
        optional --token-file file: PathBuf
        /// Maximum time to wait for an answer. Default: 10s.
        optional --timeout span: Span
        /// Prints the version.
        optional -V, --version

        /// Runs an entry process, which serves callers, upstreams and operators.
        cmd entry {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs a control process, a voter that stores its state on disk.
        cmd control {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs a gateway process, which serves callers of jobs.
        cmd gateway {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs a scheduler process, a voter that places jobs on workers and calls them.
        cmd scheduler {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs an entry and one voter in one process on loopback, without a settings file.
        cmd serve {
            /// Folder of the state, the key and the token; created if it is missing.
            /// Default: data.
            optional --data-folder folder: PathBuf
        }

        /// Checks settings files and environment documents and prints every problem.
        cmd check {
            /// Files to check.
            repeated files: PathBuf
            /// Checks only the settings files, not the addresses, folders and secrets of
            /// this machine.
            optional --no-machine
            /// Checks a configuration of routes, in JSON, before it is sent to schedulers:
            /// also entries that never match and values that contradict each other.
            optional --routes file: PathBuf
            /// Shows what differs from this configuration.
            optional --against file: PathBuf
            /// Shows what differs from the configuration in force at the control
            /// addresses given with --operators.
            optional --in-force
        }

        /// Submits, shows, compares and promotes environment documents.
        cmd env {}

        /// Submits, shows and cancels jobs.
        cmd job {}

        /// Evacuates availability zones and shows them.
        cmd zone {}

        /// Shows the state of the node and its view of the cluster.
        cmd status {}

        /// Shows where a task was placed and why.
        cmd explain {
            /// Id of the task, such as j17.3.
            required id: String
        }

        /// Adds a spare voter to the group, promotes it, or removes a voter.
        cmd voter {
            /// Name of the voter in the settings.
            required name: VoterName
            /// Change to make: add, promote or remove.
            required change: VoterChange
        }

        /// Prints the lines of log files about a job, a task or a worker, in order of time.
        cmd story {
            /// Id of the job, task or worker.
            required id: String
            /// Log files of any number of processes.
            repeated files: PathBuf
        }

        /// Stops the node at the one address given, after its open requests have ended.
        cmd drain {}
    }
}
