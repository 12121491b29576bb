use crate::record::RunRecord;

/// Returns two runs of one task that were up at the same time, or a start after a run was done.
pub(super) fn find(runs: &[RunRecord]) -> Option<String> {
    for (position, first) in runs.iter().enumerate() {
        for second in &runs[position + 1..] {
            if first.task != second.task || second.begun < first.begun {
                continue;
            }
            let (executor, other) = (&first.executor, &second.executor);
            let begun = second.begun.as_secs_f64();
            let runs = format!("run {} on {executor} and run {} on {other}", first.run, second.run);
            match first.ended {
                Some((at, "done")) if at <= second.begun && first.noted.is_some() => {
                    return Some(format!(
                        "{} began again at {begun:.3} after it was done: {runs}",
                        first.task
                    ));
                }
                Some((at, _)) if at <= second.begun => {}
                ended => {
                    let until = ended
                        .map(|(at, _)| at)
                        .into_iter()
                        .chain(second.ended.map(|(at, _)| at))
                        .min();
                    let until =
                        until.map_or("the end".to_owned(), |at| format!("{:.3}", at.as_secs_f64()));
                    return Some(format!(
                        "{} ran twice from {begun:.3} to {until}: {runs}",
                        first.task
                    ));
                }
            }
        }
    }
    None
}
