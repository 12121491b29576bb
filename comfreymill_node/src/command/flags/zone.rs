use std::net::SocketAddr;
use std::path::PathBuf;

use comfreymill_types::id::ZoneName;
use comfreymill_types::time::Span;

use crate::command::OutputFormat;

xflags::xflags! {
    /// Evacuates availability zones and shows them.
    cmd zone {
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

        /// Evacuates a zone: no task starts there any more, and long-running ones move.
        cmd evacuate {
            /// Name of the zone.
            required zone: ZoneName
            /// Who asks for it, for the records. Default: the variable USER.
            optional --by name: String
        }

        /// Withdraws an evacuation: the zone's workers get tasks again, in steps.
        cmd withdraw {
            /// Name of the zone.
            required zone: ZoneName
            /// Who asks for it, for the records. Default: the variable USER.
            optional --by name: String
        }

        /// Shows the zones that are or were evacuated, and what is left there.
        cmd status {}
    }
}
