//! Selection of servers by version.

use std::borrow::Cow;

use tokio::time::Instant;

use super::RolloutPhase;
use crate::{FailureDomain, ServerVersion, server_registry::DomainServers};

/// Largest number of versions that a service's roll-out tells apart on one side.
pub const VERSIONS_MAX: usize = 8;

/// Which servers a request is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FilterRule {
    /// Only servers of the new version.
    Trial,
    /// Servers of all versions but the new one.
    Established,
    /// Servers of all versions but the old ones. If there is none of the new version,
    /// the old ones are used.
    Moved,
}

/// What may be sent to a server of some version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRight {
    /// Any request.
    Free,
    /// A request within the allowance.
    Trial,
    /// Nothing.
    Denied,
}

/// The versions of a service's servers as its roll-out sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionFilter {
    /// Version that the order names.
    pub new: ServerVersion,
    /// Versions that ran before the order.
    pub old: Box<[ServerVersion]>,
    /// Versions of earlier orders that did not finish, which get nothing.
    pub barred: Box<[ServerVersion]>,
    /// Phase of the order.
    pub phase: RolloutPhase,
}

impl VersionFilter {
    /// Rule for a request, which takes part in the trial or not.
    pub fn rule(&self, is_trial: bool) -> FilterRule {
        match self.phase {
            RolloutPhase::Trial if is_trial => FilterRule::Trial,
            phase if phase.is_moved() => FilterRule::Moved,
            _ => FilterRule::Established,
        }
    }

    /// What may be sent to a server of `version`.
    pub fn right(&self, version: &ServerVersion) -> SendRight {
        if self.barred.contains(version) {
            SendRight::Denied
        } else if *version != self.new || self.phase.is_moved() {
            SendRight::Free
        } else if self.phase == RolloutPhase::Trial {
            SendRight::Trial
        } else {
            SendRight::Denied
        }
    }

    /// Whether `version` ran before the order.
    pub fn is_old(&self, version: &ServerVersion) -> bool {
        self.old.contains(version)
    }

    /// Whether there is a server of the new version.
    pub fn has_new(&self, servers: &[DomainServers]) -> bool {
        versions(servers).any(|version| *version == self.new)
    }

    /// Whether a server of an old version in `domain` failed at `since` or later, so that
    /// a lost connection there says nothing about the new version.
    pub fn has_old_failure(
        &self,
        servers: &[DomainServers],
        domain: &FailureDomain,
        since: Instant,
    ) -> bool {
        servers
            .iter()
            .filter(|group| group.domain == *domain)
            .flat_map(|group| &group.servers)
            .any(|server| self.is_old(&server.record().version) && server.has_failed_since(since))
    }

    /// Selects the servers that the rule admits. Nothing is copied if it admits all.
    pub fn select<'a>(
        &self,
        servers: &'a [DomainServers],
        rule: FilterRule,
    ) -> Cow<'a, [DomainServers]> {
        let has_new = self.has_new(servers);
        let admits = |version: &ServerVersion| {
            let is_admitted = match rule {
                FilterRule::Trial => *version == self.new,
                FilterRule::Established => *version != self.new,
                FilterRule::Moved => !has_new || !self.is_old(version),
            };
            is_admitted && !self.barred.contains(version)
        };
        select(servers, admits)
    }

    /// Selects the servers of one version.
    pub fn select_version<'a>(
        servers: &'a [DomainServers],
        version: &ServerVersion,
    ) -> Cow<'a, [DomainServers]> {
        select(servers, |other| other == version)
    }
}

fn select(
    servers: &[DomainServers],
    admits: impl Fn(&ServerVersion) -> bool,
) -> Cow<'_, [DomainServers]> {
    if versions(servers).all(&admits) {
        return Cow::Borrowed(servers);
    }
    let selected = servers.iter().map(|domain| DomainServers {
        domain: domain.domain.clone(),
        servers: domain
            .servers
            .iter()
            .filter(|server| admits(&server.record().version))
            .cloned()
            .collect(),
    });
    let occupied = selected.filter(|domain| !domain.servers.is_empty());
    Cow::Owned(occupied.collect())
}

fn versions(servers: &[DomainServers]) -> impl Iterator<Item = &ServerVersion> {
    let domains = servers.iter();
    domains
        .flat_map(|domain| &domain.servers)
        .map(|server| &server.record().version)
}
