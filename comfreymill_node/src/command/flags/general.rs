use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::id::VoterName;
use comfreymill_types::time::Span;

use crate::command::OutputFormat;
use crate::protocol::VoterChange;

xflags::xflags! {
    /// Schedules prompt requests and batch tasks that share machines.
    cmd comfreymill {
        /// Shape of what is printed: text (default) or json.
        optional --output format: OutputFormat
        /// Address of an operators' listener; may be repeated, then the next one is
        /// asked when one cannot answer. Default: COMFREYMILL_OPERATORS (addresses
        /// separated by commas), else 127.0.0.1:7402.
        repeated --operators address: SocketAddr
        /// File with the operators' token. Default: COMFREYMILL_TOKEN_FILE, else
        /// data/operators.token if it exists.
        optional --token-file file: PathBuf
        /// Longest wait for an answer. Default: 10s.
        optional --timeout span: Span
        /// Prints the version.
        optional -V, --version

        /// Runs an entry process: callers, upstreams and operators talk to it.
        cmd entry {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs a control process: a voter that keeps its state on a disk.
        cmd control {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs a gateway process: callers of jobs talk to it.
        cmd gateway {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs a scheduler process: a voter that places jobs on workers it calls.
        cmd scheduler {
            /// Settings file.
            required --settings file: PathBuf
        }

        /// Runs both in one process on loopback, with one voter and no settings file.
        cmd serve {
            /// Folder of the state, the key and the token; created if it is missing.
            /// Default: data.
            optional --data-folder folder: PathBuf
        }

        /// Checks settings files and environment documents and prints every problem.
        cmd check {
            /// Files to check.
            repeated files: PathBuf
            /// Checks settings files alone, not the addresses, folders and secrets of
            /// this machine.
            optional --no-machine
        }

        /// Submits, shows, compares and promotes environment documents.
        cmd env {}

        /// Submits, shows and cancels jobs.
        cmd job {}

        /// Shows the state of the node and of what it knows of the cluster.
        cmd status {}

        /// Shows why a task went where it went.
        cmd explain {
            /// Id of the task, as j17.3.
            required id: String
        }

        /// Adds a spare voter to the group, gives it its vote, or removes a voter.
        cmd voter {
            /// Name of the voter in the settings.
            required name: VoterName
            /// What becomes of it: add, promote or remove.
            required change: VoterChange
        }

        /// Tells from log files what happened to a job, a task or a worker, in order of time.
        cmd story {
            /// Id of the job, task or worker.
            required id: String
            /// Log files of any number of processes.
            repeated files: PathBuf
        }

        /// Stops the node at the one address given, once its open requests are done.
        cmd drain {}
    }
}
