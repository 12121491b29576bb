use std::time::{Duration, Instant};

use super::Work;
use super::life::{End, Life, Run};
use crate::json::Value;

/// Status and reason of the answer to an order, if it is refused.
pub(super) type Refusal = (u16, &'static str);

/// # Orders
impl Life {
    /// Notes the fencing token of an order; a lower one than before is refused.
    pub(super) fn check_fence(&mut self, body: &Value) -> Result<(), Refusal> {
        let fence = body.get("fencing_token").number().unwrap_or_default();
        if fence < self.fence {
            return Err((409, "fence"));
        }
        self.fence = fence;
        Ok(())
    }

    /// Takes the end of the lease from an order; a lease never gets shorter, and never longer than
    /// `longest`.
    pub(super) fn extend_lease(&mut self, body: &Value, longest: Duration) {
        if let Some(until) = body.get("deadline_ms").number() {
            let until = until.min(self.clock_ms() + longest.as_millis() as u64);
            self.lease_until_ms = self.lease_until_ms.max(until);
        }
    }

    /// Starts a run; returns whether it has begun by this order.
    pub(super) fn start(
        &mut self,
        body: &Value,
        capacity: u64,
        longest: Duration,
    ) -> Result<bool, Refusal> {
        let (task, number) = (body.get("task").text(), body.get("run").number());
        let (Some(number), false) = (number, task.is_empty()) else { return Err((400, "body")) };
        if body.get("deadline_ms").number().unwrap_or_default() <= self.clock_ms() {
            return Err((409, "late"));
        }
        self.extend_lease(body, longest);
        if self.running.get(task).is_some_and(|run| run.run == number) {
            return Ok(false);
        }
        let newest = self.running.get(task).map_or(0, |run| run.run);
        if number <= newest.max(self.over.get(task).copied().unwrap_or_default()) {
            return Err((409, "old"));
        }
        let work = Work::read(body.get("task_spec").text());
        if newest > 0 || self.used_cpu() + work.cpu > capacity {
            return Err((409, "room"));
        }
        let saved = u64::from_str_radix(body.get("last_checkpoint").text(), 16);
        let resumed = Duration::from_millis(saved.unwrap_or_default());
        let run = Run { run: number, work, began: Instant::now(), resumed };
        self.running.insert(task.to_owned(), run);
        Ok(true)
    }

    /// Stops a run; one that is not there yet will be refused.
    pub(super) fn stop(&mut self, body: &Value) -> Option<End> {
        let (task, number) = (body.get("task").text(), body.get("run").number()?);
        let over = self.over.entry(task.to_owned()).or_default();
        *over = number.max(*over);
        let is_running = self.running.get(task).is_some_and(|run| run.run == number);
        if is_running { self.end(task, "stopped") } else { None }
    }

    /// Forgets the ends that the caller has seen.
    pub(super) fn forget(&mut self, body: &Value) {
        let seen = body.get("last_seen").number().unwrap_or_default();
        self.ended.retain(|end| end.number > seen);
    }

    /// Returns both lists; `tail_ms` is the tail of the response times of tasks that serve.
    pub(super) fn lists(&self, tail_ms: u64) -> Vec<(String, Value)> {
        let running = self.running.iter().map(|(task, run)| {
            let load = if run.work.serves { tail_ms } else { run.work.cpu };
            let saved = Value::Text(run.saved());
            let numbers = [run.run.into(), saved, run.percent().into(), load.into()];
            Value::List([Value::Text(task.clone())].into_iter().chain(numbers).collect())
        });
        let ended = self.ended.iter().map(|end| {
            let End { number, task, run, how, saved } = end;
            let row = [(*number).into(), task.as_str().into(), (*run).into()];
            let rest = [(*how).into(), saved.as_str().into()];
            Value::List(row.into_iter().chain(rest).collect())
        });
        let lists = [("running", running.collect()), ("ended", ended.collect())];
        lists.map(|(name, rows)| (name.to_owned(), Value::List(rows))).to_vec()
    }
}
