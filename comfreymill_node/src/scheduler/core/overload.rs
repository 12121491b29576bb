use std::time::Duration;

use comfreymill_jobs::id;
use comfreymill_types::error;
use comfreymill_types::time;

use super::core::Core;
use super::input::Input;
use crate::jobcall::{Call, Reply};
use crate::metering::observe;
use crate::scheduler::turns;

/// # Overload
impl Core {
    /// Updates what is put off or refused by the longest wait of an input.
    pub(super) fn update_overload(&mut self, now: time::Monotonic, wait: Duration) {
        let Some(level) = self.overload.update(now, wait) else { return };
        let refused = std::mem::take(&mut self.refused);
        log::info!(target: "loop", level = level.as_str(), wait_ms = wait.as_millis() as u64, refused; "the leader's load has changed");
        observe::decision("overload", level.as_str());
        if let Some(leadership) = &mut self.leadership {
            leadership.scheduler.defer(level > turns::Level::Normal);
        }
    }

    /// Refuses the submissions that wait, while the leader has more to do than it can. A job that is
    /// stored, or may be, is not refused. Without a valid lease, the next leader may have stored it.
    pub(super) fn refuse_new_jobs(
        &mut self,
        now: time::Monotonic,
        backlog: &mut turns::Backlog<Input>,
    ) {
        if self.overload.level() < turns::Level::Refusing || !self.takes_calls(now) {
            return;
        }
        let refused = backlog.remove_if(turns::Kind::Caller, |input| self.is_refusable(input));
        for input in refused {
            let Input::Call { call, reply } = input else { continue };
            let retry_after = self.overload.retry_after(rand::random());
            let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
            reply.send(&Reply::Overloaded { retry_after_ms });
            observe::refusal("scheduler", error::ErrorKind::Overloaded);
            self.refused += 1;
            if let Call::Submit { path, .. } = call {
                log::debug!(target: "loop", path = path.as_str(), retry_after_ms; "a job is refused");
            }
        }
    }

    /// Returns whether the input submits a job of which this leader is certain that it is not
    /// stored.
    fn is_refusable(&self, input: &Input) -> bool {
        let Input::Call { call, .. } = input else {
            return false;
        };
        let Call::Submit { host, path, .. } = call else { return false };
        let Ok((_, key)) = self.find_queue(host, path) else { return false };
        key.parse::<id::JobKey>().is_ok_and(|key| {
            !self.state.get_jobs().contains_key(&key) && !self.submitting.contains(&key)
        })
    }
}
