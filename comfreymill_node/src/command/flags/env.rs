use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::document::Stage;
use comfreymill_types::id::{Digest, EnvironmentName, OperationId, Version};
use comfreymill_types::time::Span;

use crate::command::OutputFormat;

xflags::xflags! {
    /// Submits, shows, compares and promotes environment documents.
    cmd env {
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

        /// Submits a document to the trial stage.
        cmd submit {
            /// Document in YAML.
            required file: PathBuf
            /// Version in trial that the document replaces. Default: 0, for the first.
            optional --replaces version: Version
            /// Name of this change, to send the same change again. Default: drawn.
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
            /// Digest of the document that was tried, as `env status` prints it.
            required digest: Digest
            /// Name of this change, to send the same change again. Default: drawn.
            optional --operation id: OperationId
        }

        /// Shows which version is in force on how many nodes.
        cmd status {
            /// Name of the environment.
            required name: EnvironmentName
        }
    }
}
