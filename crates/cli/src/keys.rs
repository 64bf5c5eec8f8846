//! `key`: issues and withdraws keys of callers.

use board::{
    config::{Manifest, manifest},
    key::{self, Digest, Grant},
    shared::{Fact, Item},
};
use link::platform::{Client, Condition, Error};
use policy::execution::Execution;
use rand::{TryRngCore, rngs::OsRng};

use crate::{announce, command::Platform, error::Failure, publish::change_failure};

const SECRET_BYTES: usize = 24;

/// The advice if a withdrawal may have taken effect.
const WITHDRAWAL_UNKNOWN: &str = "the key may or may not be withdrawn: repeat the command until it \
     succeeds, which is safe; until then `tarragonseam explain --vm PEER --key KEY` shows \
     whether a VM accepts the key";

/// The error of a platform that does not confirm a new key with the digest
/// `name`.
fn issue_failure(e: &Error, name: &str) -> Failure {
    let help = format!(
        "a key may or may not have been stored, but nobody can use it: it was not printed. Issue \
         another one, which is safe; `tarragonseam key withdraw {name}` withdraws the first one, \
         and finds no object if it is not stored"
    );
    change_failure(e, e.execution(), &help)
}

/// Issues a key for `account` and prints it.
pub(crate) async fn issue(platform: &Platform, account: String) -> miette::Result<()> {
    let client = Client::new(platform.address, "cli");
    let secret = create(&client, account).await?;
    println!("{secret}");
    Ok(())
}

/// Creates a key for `account`, stores its digest on the platform and returns
/// the key.
///
/// # Errors
///
/// When no configuration is in force, or the platform does not accept the key.
pub(crate) async fn create(client: &Client, account: String) -> miette::Result<String> {
    let read = client.read::<Manifest>(manifest::KIND, manifest::CURRENT);
    if let Err(Error::Absent) = read.await {
        let problem = "no configuration is in force";
        return Err(Failure::new(
            problem,
            "publish a configuration that declares the account, then issue the key",
        )
        .into());
    }
    let secret = generate_secret()?;
    let grant = Grant {
        account,
        withdrawn: false,
    };
    let name = Digest::of(&secret).to_string();
    let value = serde_json::to_vec(&grant).unwrap_or_default();
    let created = client.create(key::KIND, &name, value);
    let object = created.await.map_err(|e| issue_failure(&e, &name))?;
    let fact = Fact::Key(Digest::of(&secret), grant);
    let version = object.version;
    announce::send(client, Item { version, fact }).await;
    Ok(secret)
}

fn generate_secret() -> miette::Result<String> {
    let mut bytes = [0_u8; SECRET_BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|e| Failure::new(e.to_string(), "the system returned no random bytes"))?;
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    Ok(format!("ts-{text}"))
}

/// Withdraws `key`, which is a key or the digest of one.
pub(crate) async fn withdraw(platform: &Platform, key: String) -> miette::Result<()> {
    let client = Client::new(platform.address, "cli");
    let informed = mark_withdrawn(&client, &key).await?;
    println!("withdrawn; {informed} VMs received the change and spread it to the others");
    Ok(())
}

/// Marks a key as withdrawn and returns how many VMs accepted the announcement.
///
/// Returns only after the platform has accepted the write or a read has
/// returned the key as withdrawn.
pub(crate) async fn mark_withdrawn(client: &Client, key: &str) -> miette::Result<usize> {
    let digest = key.parse().unwrap_or_else(|_| Digest::of(key));
    let name = digest.to_string();
    // The list is read before the write, because the platform may become
    // unavailable right after it accepts the write.
    let vms = client.vms().await.unwrap_or_default();
    let mut execution = Execution::NotRun;
    let failure = |e, execution| change_failure(&e, execution, WITHDRAWAL_UNKNOWN);
    loop {
        let (version, grant) = client
            .read::<Grant>(key::KIND, &name)
            .await
            .map_err(|e| failure(e, execution))?;
        if grant.withdrawn {
            let fact = Fact::Key(digest, grant);
            return Ok(announce::send_to(&vms, &Item { version, fact }).await);
        }
        let updated = Grant {
            withdrawn: true,
            ..grant
        };
        let written = client.write(key::KIND, &name, Condition::At(version), &updated);
        let error = match written.await {
            Ok(version) => {
                let fact = Fact::Key(digest, updated);
                return Ok(announce::send_to(&vms, &Item { version, fact }).await);
            }
            Err(e) => e,
        };
        execution = execution.and(error.execution());
        // The key may have changed: read it again.
        if !matches!(error, Error::Conflict(_) | Error::Unknown(_)) {
            return Err(failure(error, execution).into());
        }
    }
}
