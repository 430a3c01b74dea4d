//! Keeps the bans of requests that end servers in the store, so that they outlast all nodes.
//!
//! A ban that was lifted is kept as well, since nodes that read it late would adopt it otherwise.

use std::collections::HashSet;
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use jackdaw_core::errors::{Error, Result};
use jackdaw_core::store::{Entry, Transaction, Write};
use jackdaw_core::units::Millis;
use jackdaw_policy::backoff::Backoff;
use jackdaw_policy::poison::{BAN_DURATION, Ban, Feature};
use slog::{info, warn};
use tokio::time;

use crate::node::Node;

/// Prefix of the bans in the store.
const PREFIX: &str = "jackdawstair/bans/";
/// Follows the time of a ban that was lifted.
const LIFTED: &str = " lifted";
/// Shortest pause after a failed call of the store.
const MIN_RETRY_DELAY: Millis = Millis(100);
/// Longest pause after a failed call of the store.
const MAX_RETRY_DELAY: Millis = Millis(2_000);
/// Shortest time after the store has come back from a copy until a node writes what it lacks.
const MIN_REWRITE_DELAY: Millis = Millis(300);
/// Longest time until then; at the target's size about a hundred nodes a second come to look.
const MAX_REWRITE_DELAY: Millis = Millis(3_500);

/// Starts the tasks that read the bans from the store and write new ones to it.
pub(crate) fn start(node: &Rc<Node>) {
    ntex::rt::spawn(restore(Rc::clone(node)));
    ntex::rt::spawn(save(Rc::clone(node)));
    ntex::rt::spawn(rewrite(Rc::clone(node)));
}

/// Writes the bans that the store lacks each time it has come back from a copy.
async fn rewrite(node: Rc<Node>) {
    loop {
        node.freshness.has_new_era.notified().await;
        // Whoever comes first writes for all, so nodes do not come at the same time.
        let pause = Millis(fastrand::u64(MIN_REWRITE_DELAY.0..MAX_REWRITE_DELAY.0));
        time::sleep(pause.duration()).await;
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut random = fastrand::Rng::new();
        while let Err(error) = rewrite_missing(&node).await {
            warn!(node.logger(), "bans cannot be read from the store"; "error" => %error);
            time::sleep(backoff.next_pause(&mut random).duration()).await;
        }
    }
}

async fn rewrite_missing(node: &Node) -> Result<()> {
    let known = node.poison.bans(node.now());
    if known.is_empty() {
        return Ok(());
    }
    let stored: HashSet<(Feature, bool)> = read_bans(node)
        .await?
        .iter()
        .map(|ban| (ban.feature, ban.is_lifted))
        .collect();
    let missing = known
        .iter()
        .filter(|ban| !stored.contains(&(ban.feature, ban.is_lifted)));
    for ban in missing {
        info!(node.logger(), "ban is written again"; "feature" => %ban.feature.name());
        node.poison.save_again(ban.feature);
    }
    Ok(())
}

/// Reads the bans that are in the store.
async fn restore(node: Rc<Node>) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut random = fastrand::Rng::new();
    loop {
        match read_bans(&node).await {
            Ok(bans) => {
                node.restore_bans(bans);
                return;
            }
            Err(error) => {
                warn!(node.logger(), "bans cannot be read from the store"; "error" => %error);
                time::sleep(backoff.next_pause(&mut random).duration()).await;
            }
        }
    }
}

async fn read_bans(node: &Node) -> Result<Vec<Ban>> {
    let entries = node.parts.store.list(PREFIX).await?;
    let unix_ms = node.parts.clock.unix_millis();
    let bans = entries
        .iter()
        .filter_map(|entry| match decode_ban(entry, unix_ms) {
            Ok(ban) => Some(ban),
            Err(error) => {
                warn!(node.logger(), "ban in the store cannot be decoded"; "error" => %error);
                None
            }
        });
    Ok(bans.collect())
}

fn decode_ban(entry: &Entry, unix_ms: u64) -> Result<Ban> {
    let malformed = |reason: &str| Error::malformed("read ban", &entry.key, reason);
    let feature = entry
        .key
        .strip_prefix(PREFIX)
        .and_then(|feature| feature.parse().ok())
        .ok_or_else(|| malformed("the key holds no feature"))?;
    let value = std::str::from_utf8(&entry.value).unwrap_or_default();
    let until = value.strip_suffix(LIFTED);
    let until_unix_ms: u64 = until
        .unwrap_or(value)
        .parse()
        .map_err(|_| malformed("the value is no time"))?;
    Ok(Ban {
        feature,
        remaining: Millis(until_unix_ms.saturating_sub(unix_ms)),
        is_lifted: until.is_some(),
    })
}

/// Writes new bans to the store until the node stops.
async fn save(node: Rc<Node>) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut random = fastrand::Rng::new();
    loop {
        let next = node.poison.next_unsaved();
        let Some(feature) = next else {
            node.poison.has_unsaved.notified().await;
            continue;
        };
        let ban = node.poison.ban(&feature, node.now());
        let result = match ban {
            Some(ban) => write_ban(&node, &ban).await,
            None => Ok(()),
        };
        match result {
            Ok(()) => {
                node.poison.finish_saving();
                backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            }
            Err(error) => {
                warn!(node.logger(), "ban cannot be written to the store"; "error" => %error);
                time::sleep(backoff.next_pause(&mut random).duration()).await;
            }
        }
    }
}

/// Writes a ban under a lease that removes it when it has ended.
async fn write_ban(node: &Node, ban: &Ban) -> Result<()> {
    let store = &node.parts.store;
    let lease = store.grant(BAN_DURATION).await?;
    let until_unix_ms = node.parts.clock.unix_millis() + ban.remaining.0;
    let key: CompactString = format_compact!("{PREFIX}{}", ban.feature);
    let suffix = if ban.is_lifted { LIFTED } else { "" };
    let put = Write::Put {
        key,
        value: format!("{until_unix_ms}{suffix}").into_bytes(),
        lease: Some(lease),
    };
    let transaction = Transaction {
        then: vec![put],
        ..Transaction::default()
    };
    store.commit(transaction).await?;
    Ok(())
}
