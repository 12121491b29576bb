use comfreymill_types::document;
use comfreymill_types::id;

use crate::metering::observe;

/// Class of a request as the document in force has it.
#[derive(Clone, Debug)]
pub struct ClassView {
    /// Class.
    pub class: document::Class,
    /// Team that the caller named, if the document has it.
    pub team: Option<id::TeamName>,
}

impl ClassView {
    /// Team and class in metrics: only names that the document has.
    pub fn get_tenant(&self) -> observe::Tenant<'_> {
        observe::Tenant { team: self.team.as_ref(), class: &self.class.name }
    }
}
