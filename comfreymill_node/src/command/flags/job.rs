use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::document::Stage;
use comfreymill_types::id::{ClassName, EnvironmentName, IdempotencyKey, JobId, TaskId, TeamName};
use comfreymill_types::time::Span;

use crate::command::OutputFormat;

xflags::xflags! {
    /// Submits, shows and cancels jobs.
    cmd job {
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
            /// File that is passed to the workers unchanged.
            optional --payload file: PathBuf
            /// Idempotency key; use it again to resend the same job. Default: random.
            optional --key key: IdempotencyKey
        }

        /// Shows one job with its tasks.
        cmd status {
            /// Id of the job, such as j17.
            required id: JobId
        }

        /// Lists jobs.
        cmd list {}

        /// Lets a parked task run again; check first whether it took effect.
        cmd release {
            /// Id of the task, such as j17.3.
            required id: TaskId
        }

        /// Cancels the rest of a job.
        cmd cancel {
            /// Id of the job, such as j17.
            required id: JobId
        }
    }
}
