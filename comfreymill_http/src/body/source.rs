use bytes::Bytes;

use super::BodyError;

/// A body that is sent in pieces.
pub trait Source {
    /// Returns the length in bytes, if it is known in advance.
    fn length(&self) -> Option<u64>;

    /// Returns the next piece, or `None` after the last.
    fn chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, BodyError>>;
}

impl Source for Bytes {
    fn length(&self) -> Option<u64> {
        Some(self.len() as u64)
    }

    async fn chunk(&mut self) -> Result<Option<Self>, BodyError> {
        let data = std::mem::take(self);
        Ok(if data.is_empty() { None } else { Some(data) })
    }
}

impl<S> Source for &mut S
where
    S: Source,
{
    fn length(&self) -> Option<u64> {
        (**self).length()
    }

    async fn chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        (**self).chunk().await
    }
}
