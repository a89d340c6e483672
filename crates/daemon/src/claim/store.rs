//! The storage of claim shards, and its implementation by platform objects.

use jaystand_control::claim::{Fault, Shard};
use jaystand_platform::{Client, Error};
use jaystand_types::Version;

/// Object kind of the shards.
const KIND: &str = "claim";

/// Storage of shards with conditional updates.
pub trait Store: Clone + Send + 'static {
    /// Reads a shard. Returns `None` if it does not exist.
    fn read(
        &self,
        shard: u8,
    ) -> impl Future<Output = Result<Option<(Version, Shard)>, Fault>> + Send;

    /// Writes a shard if its version is `expected`, and returns its new version.
    fn write(
        &self,
        shard: u8,
        expected: Option<Version>,
        value: Shard,
    ) -> impl Future<Output = Result<Version, Fault>> + Send;
}

impl Store for Client {
    async fn read(&self, shard: u8) -> Result<Option<(Version, Shard)>, Fault> {
        let found = self
            .get(KIND, &shard.to_string())
            .await
            .map_err(|_| Fault::Unavailable)?;
        let Some(object) = found else {
            return Ok(None);
        };
        let value = Shard::decode(object.value).map_err(|error| {
            log::error!("object {KIND}/{shard} cannot be used, its keys are refused: {error}");
            Fault::Corrupt
        })?;
        Ok(Some((object.version, value)))
    }

    async fn write(
        &self,
        shard: u8,
        expected: Option<Version>,
        value: Shard,
    ) -> Result<Version, Fault> {
        let name = shard.to_string();
        let written = self.put(KIND, &name, expected.into(), value.encode());
        written.await.map_err(|error| match error {
            Error::Conflict => Fault::Conflict,
            Error::Lost => Fault::Lost,
            // All other errors mean that the write did not take effect.
            error => {
                log::warn!("object {KIND}/{shard} could not be written: {error}");
                Fault::Unavailable
            }
        })
    }
}

/// `None` stands for a daemon without a platform, which grants no claims.
impl<S: Store + Sync> Store for Option<S> {
    async fn read(&self, shard: u8) -> Result<Option<(Version, Shard)>, Fault> {
        match self {
            Some(store) => store.read(shard).await,
            None => Err(Fault::Unavailable),
        }
    }

    async fn write(
        &self,
        shard: u8,
        expected: Option<Version>,
        value: Shard,
    ) -> Result<Version, Fault> {
        match self {
            Some(store) => store.write(shard, expected, value).await,
            None => Err(Fault::Unavailable),
        }
    }
}
