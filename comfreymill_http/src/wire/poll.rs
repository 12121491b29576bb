use std::{future, pin, task};

/// Polls a future once and returns `None` if it is not ready.
pub(crate) async fn now_or_never<F>(fut: F) -> Option<F::Output>
where
    F: Future,
{
    let mut fut = pin::pin!(fut);
    future::poll_fn(|cx| match fut.as_mut().poll(cx) {
        task::Poll::Ready(output) => task::Poll::Ready(Some(output)),
        task::Poll::Pending => task::Poll::Ready(None),
    })
    .await
}

/// Yields to the other tasks of this thread.
///
/// monoio puts a task that wakes itself at the front of its queue and would run it again at once,
/// so this waits for a new task, which goes to the end of the queue.
pub(crate) async fn yield_now() {
    monoio::spawn(future::ready(())).await;
}
