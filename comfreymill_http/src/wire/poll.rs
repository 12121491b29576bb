use std::{future, pin, task};

/// Polls a future once; `None` if it is not ready.
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
