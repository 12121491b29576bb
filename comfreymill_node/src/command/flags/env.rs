use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::document::Stage;
use comfreymill_types::id::{Digest, EnvironmentName, OperationId, Version};
use comfreymill_types::time::Span;

use crate::command::OutputFormat;

xflags::xflags! {
    /// Submits, shows, compares and promotes environment documents.
    cmd env {
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

        /// Submits a document to the trial stage.
        cmd submit {
            /// Document in YAML.
            required file: PathBuf
            /// Version in trial that the document replaces. Default: 0, for the first.
            optional --replaces version: Version
            /// Id of this change; use it again to resend the same change. Default: random.
            optional --operation id: OperationId
        }

        /// Prints the document in force.
        cmd show {
            /// Name of the environment.
            required name: EnvironmentName
            /// Stage: trial or production (default).
            optional --stage stage: Stage
        }

        /// Compares the document in production with the one in trial, or with a file.
        cmd diff {
            /// Name of the environment.
            required name: EnvironmentName
            /// Document in YAML to compare with instead of the one in trial.
            optional file: PathBuf
        }

        /// Promotes the document in trial to production, unchanged.
        cmd promote {
            /// Name of the environment.
            required name: EnvironmentName
            /// Digest of the document in trial, as `env status` prints it.
            required digest: Digest
            /// Id of this change; use it again to resend the same change. Default: random.
            optional --operation id: OperationId
        }

        /// Shows which version is in force on how many nodes.
        cmd status {
            /// Name of the environment.
            required name: EnvironmentName
        }
    }
}
