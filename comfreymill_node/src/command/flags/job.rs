use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::document::Stage;
use comfreymill_types::id::{ClassName, EnvironmentName, IdempotencyKey, JobId, TaskId, TeamName};
use comfreymill_types::time::Span;

use crate::command::OutputFormat;

xflags::xflags! {
    /// Submits, shows and cancels jobs.
    cmd job {
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

        /// Submits a job.
        cmd submit {
            /// Environment of the class.
            required --environment name: EnvironmentName
            /// Stage of the environment: trial or production (default).
            optional --stage stage: Stage
            /// Team whose quota the job uses.
            required --team name: TeamName
            /// Class of the tasks.
            required --class name: ClassName
            /// Number of tasks. Default: 1.
            optional --tasks count: u32
            /// File that is handed to the workers as it is.
            optional --payload file: PathBuf
            /// Name of this job, to send the same job again. Default: drawn.
            optional --key key: IdempotencyKey
        }

        /// Shows one job with its tasks.
        cmd status {
            /// Id of the job, as j17.
            required id: JobId
        }

        /// Lists jobs.
        cmd list {}

        /// Lets a parked task run again; first find out whether it took effect.
        cmd release {
            /// Id of the task, as j17.3.
            required id: TaskId
        }

        /// Cancels what is left of a job.
        cmd cancel {
            /// Id of the job, as j17.
            required id: JobId
        }
    }
}
