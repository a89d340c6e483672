//! Requests, and shared parts of prompts, that are suspected to crash the servers that begin to answer on them.
//!
//! When a server ends under a request that has no event of its answer yet, the request itself or each shared part of its
//! prompt may be the cause. A request is known again by its fingerprint, whatever its id. Such a subject is suspected when
//! servers have ended under it at separate times and no request with it has been answered since; later, if one was
//! answered before. Most subjects of a crashed server are cleared by the next answer anywhere. Crashes under one suspected
//! request count once against the parts of its prompt: it explains them better, unless other requests with a part crash
//! servers, too. Hosts tell each other the crashes and the clearances, since each of them sees only a few.
//!
//! A server that ends later, while it sends the answers of many streams, speaks against one of them at most, and most
//! are innocent. Such a cut counts against the request only, and less than a crash if the server held other streams: a
//! request that ends three servers is suspected at whatever stage it does so, while one that was on two of them is resumed
//! elsewhere. A cut by a server that a request with more crashes explains does not count.
//!
//! Requests with a suspected subject are refused, but for single trials at growing intervals: it may be innocent, or
//! mended. Hosts take turns in an order of the subject, so that they do not all try at once.

use std::{num::NonZeroUsize, time::Duration};

use hashbrown::HashMap;
use jaystand_types::Moment;
use lru::LruCache;
use smallvec::SmallVec;

use crate::{
    ServerKey,
    prompt::{self, PartId},
};

/// Servers that end within this time count as one event, such as a rack that loses power under all of their requests.
const EVENT_TIME: Duration = Duration::from_millis(500);
/// Crash events after which a subject is suspected.
const SUSPECT_EVENTS: usize = 2;
/// The same for subjects with which a request was answered before the crashes. The deadly part of the same requests is
/// suspected first, and the others are answered without it.
const SUSPECT_EVENTS_IF_ANSWERED: usize = 4;
/// Weight of the end of a server in an event, in thirds.
const FULL_WEIGHT: usize = 3;
/// The same if it held other streams as well and had begun to answer: three of these events make two full ones.
const SHARED_WEIGHT: usize = 2;
/// Number of parts, and of requests, of which it is known that they were answered.
const MAX_ANSWERED: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");
/// Time from the second crash or a trial to the next trial. It doubles with each further crash.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(4);
/// From this many crashes under a part on, the delay is `LATE_TRIAL_DELAY`, which doubles as well. The users allow three
/// requests after the fifth crash.
const LATE_PART_CRASHES: usize = 5;
/// The same for a request. The users allow three sends after the third crash.
const LATE_REQUEST_CRASHES: usize = 3;
const LATE_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Delay of a trial at the second, third and further hosts in the order of the subject. A trial is known everywhere sooner.
const TRIAL_RANK_DELAY: Duration = Duration::from_millis(250);
/// Longest sum of these delays.
const MAX_TRIAL_RANK_DELAY: Duration = Duration::from_secs(10);
/// Largest exponent of the doubling.
const MAX_DOUBLINGS: usize = 6;
/// Crashes and clearances are forgotten after this time.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// Clearances are reported for this long, since reports may be lost.
const CLEARANCE_REPORTED_FOR: Duration = Duration::from_secs(10);
/// A clearance without crashes to clear is renewed at most this often. The first part of a prompt is answered all the time,
/// and each renewal is reported to all hosts as new.
const CLEARANCE_RENEWAL: Duration = Duration::from_secs(5);
/// Largest number of subjects with crashes. Those of fewer crashes are dropped first, so that ever new requests do not
/// displace the evidence against one that recurs.
const MAX_SUBJECTS: usize = 1_024;
/// Largest number of crashes that are kept for a subject.
const MAX_CRASHES: usize = 16;
/// Largest number of servers of which the newest answer is kept.
const MAX_SERVERS: usize = 4_096;

/// Hash of what a caller who repeats a request sends again, equal on all hosts.
pub type Fingerprint = u64;

jaystand_types::common! { value
    /// What may crash servers.
    pub enum Subject {
        /// A shared part of prompts.
        Part(PartId),
        /// A request, whatever its id.
        Request(Fingerprint),
    }

    /// The end of a server under a request.
    pub struct Crash {
        /// The incarnation that ended.
        pub server: ServerKey,
        /// When it ended.
        pub at: Moment,
        /// Whether it had begun to answer and held other streams as well, any of which may have ended it.
        pub shared: bool,
    }
}

jaystand_types::common! { data
    /// What a host knows of a subject, for other hosts. Times are ages.
    pub struct Statement {
        /// The subject.
        pub subject: Subject,
        /// Servers that ended under it, with the time since then.
        pub crashes: SmallVec<[(ServerKey, Duration); 4]>,
        /// Those of the servers that held other streams as well.
        pub shared: SmallVec<[ServerKey; 4]>,
        /// Time since a request with it was last answered.
        pub cleared: Option<Duration>,
        /// Time since the last trial.
        pub tried: Option<Duration>,
    }
}

jaystand_types::common! { value
    /// Whether a request may be sent.
    pub enum Verdict {
        /// Nothing of it is suspected.
        Sound,
        /// It is suspected, and a trial is due.
        Trial(Subject),
        /// It is suspected; the next trial is due after this time.
        Suspected(Subject, Duration),
    }
}

#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Crashes since the last clearance, one for each incarnation.
    crashes: SmallVec<[Crash; 4]>,
    cleared: Option<Moment>,
    tried: Option<Moment>,
    /// Whether a request with the subject was answered before the crashes.
    was_answered: bool,
    /// Whether this host has seen a crash under it.
    seen_here: bool,
}

/// The evidence against all subjects.
#[derive(Clone, Debug)]
pub struct Suspicions {
    subjects: HashMap<Subject, Evidence>,
    /// Servers that ended under a suspected request, with that request and the number of its crashes. The request of the
    /// most crashes explains the end of a server.
    explained: HashMap<ServerKey, (Fingerprint, usize)>,
    /// Parts with which requests of this host were answered, and those requests.
    answered_parts: LruCache<Subject, ()>,
    answered_requests: LruCache<Subject, ()>,
    /// Send time of the newest request that each incarnation answered.
    answered: HashMap<ServerKey, Moment>,
}

impl Default for Suspicions {
    fn default() -> Self {
        Self {
            subjects: HashMap::new(),
            explained: HashMap::new(),
            answered_parts: LruCache::new(MAX_ANSWERED),
            answered_requests: LruCache::new(MAX_ANSWERED),
            answered: HashMap::new(),
        }
    }
}

impl Evidence {
    /// Adds a crash. Returns whether it was not known.
    fn add(&mut self, crash: Crash) -> bool {
        if self.cleared.is_some_and(|cleared| cleared >= crash.at) {
            return false;
        }
        let mut known = self.crashes.iter();
        if known.any(|known| known.server == crash.server) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            // The first crashes show that there were separate events, and the newest one sets the next trial.
            self.crashes.remove(MAX_CRASHES - 1);
        }
        true
    }

    /// Returns whether an answer now changes what other hosts should know.
    fn needs_clearance(&self, now: Moment) -> bool {
        let is_due = |cleared: Moment| cleared + CLEARANCE_RENEWAL <= now;
        !self.crashes.is_empty() || self.cleared.is_none_or(is_due)
    }

    fn clear(&mut self, at: Moment) {
        self.cleared = self.cleared.max(Some(at));
        self.crashes.retain(|crash| crash.at > at);
    }

    /// Returns whether there were enough crash events. `is_counted` is asked for each crash, the oldest first.
    fn is_suspected(&self, mut is_counted: impl FnMut(&Crash) -> bool) -> bool {
        let mut weight = 0;
        let mut event: Option<(Moment, usize)> = None;
        for crash in self.crashes.iter().filter(|crash| is_counted(crash)) {
            let own = if crash.shared {
                SHARED_WEIGHT
            } else {
                FULL_WEIGHT
            };
            match &mut event {
                // The weightiest crash of an event counts.
                Some((start, counted)) if crash.at < *start + EVENT_TIME => {
                    weight += own.saturating_sub(*counted);
                    *counted = own.max(*counted);
                }
                _ => {
                    weight += own;
                    event = Some((crash.at, own));
                }
            }
        }
        let enough = if self.was_answered {
            SUSPECT_EVENTS_IF_ANSWERED
        } else {
            SUSPECT_EVENTS
        };
        weight >= enough * FULL_WEIGHT
    }

    /// Returns when the next trial is due. From `late` crashes on the delay is long.
    fn next_trial(&self, late: usize) -> Moment {
        let crashes = self.crashes.len();
        let (delay, first) = if crashes < late {
            (FIRST_TRIAL_DELAY, SUSPECT_EVENTS)
        } else {
            (LATE_TRIAL_DELAY, late)
        };
        let doublings = crashes.saturating_sub(first).min(MAX_DOUBLINGS);
        let last = self.crashes.last().map(|crash| crash.at).max(self.tried);
        last.unwrap_or_default() + delay * (1 << doublings)
    }

    /// Returns when anything was last recorded.
    fn newest(&self) -> Moment {
        let crash = self.crashes.last().map(|crash| crash.at);
        crash.max(self.cleared).max(self.tried).unwrap_or_default()
    }
}

impl Subject {
    /// Returns how long after it is due a host tries a request with this subject. `local` and `others` identify the hosts.
    pub fn trial_delay(self, local: u64, others: impl Iterator<Item = u64>) -> Duration {
        let (Self::Part(hash) | Self::Request(hash)) = self;
        let weight = |host| prompt::mix(hash, host);
        let before = others.filter(|other| weight(*other) < weight(local));
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        TRIAL_RANK_DELAY
            .saturating_mul(rank)
            .min(MAX_TRIAL_RANK_DELAY)
    }

    fn late_crashes(self) -> usize {
        match self {
            Self::Part(_) => LATE_PART_CRASHES,
            Self::Request(_) => LATE_REQUEST_CRASHES,
        }
    }
}

impl Suspicions {
    /// Records that a server ended, or seems to have, under a request that had no event of its answer. Returns the
    /// subjects that are suspected from now on.
    pub fn record_crash(
        &mut self,
        now: Moment,
        server: ServerKey,
        subjects: impl Iterator<Item = Subject>,
    ) -> SmallVec<[Subject; 2]> {
        let crash = Crash {
            server,
            at: now,
            shared: false,
        };
        let mut unsuspected: SmallVec<[Subject; 4]> = SmallVec::new();
        for subject in subjects {
            if !self.is_suspected(subject) {
                unsuspected.push(subject);
            }
            self.add(subject, crash);
            self.mark_seen_here(subject);
        }
        self.explain();
        let suspected_now = |subject: &Subject| self.is_suspected(*subject);
        unsuspected.into_iter().filter(suspected_now).collect()
    }

    /// Records that a server ended, or seems to have, after it had sent events of the answer to a request. `held` is the
    /// number of streams that it held. Returns the request if it is suspected from now on.
    pub fn record_cut(
        &mut self,
        now: Moment,
        server: ServerKey,
        request: Fingerprint,
        held: u32,
    ) -> Option<Subject> {
        let subject = Subject::Request(request);
        let was_suspected = self.is_suspected(subject);
        // Streams that ended with the server a moment ago are not held any more.
        let is_other_cut = |(other, evidence): (&Subject, &Evidence)| {
            let mut crashes = evidence.crashes.iter();
            matches!(other, Subject::Request(other) if *other != request)
                && crashes.any(|crash| crash.server == server)
        };
        let crash = Crash {
            server,
            at: now,
            shared: held > 1 || self.subjects.iter().any(is_other_cut),
        };
        self.add(subject, crash);
        self.mark_seen_here(subject);
        self.explain();
        (!was_suspected && self.is_suspected(subject)).then_some(subject)
    }

    fn mark_seen_here(&mut self, subject: Subject) {
        if let Some(evidence) = self.subjects.get_mut(&subject) {
            evidence.seen_here = true;
        }
    }

    /// Records that a request with these subjects was answered to its end.
    pub fn record_answer(&mut self, now: Moment, subjects: impl Iterator<Item = Subject>) {
        let mut changed = false;
        for subject in subjects {
            self.answered_of(subject).put(subject, ());
            if let Some(evidence) = self.subjects.get_mut(&subject) {
                evidence.was_answered = true;
                if evidence.needs_clearance(now) {
                    evidence.clear(now);
                    changed = true;
                }
            }
        }
        if changed {
            self.explain();
        }
    }

    /// Records that a server answered a request that was sent at a time. If it was thought to have ended before, only a
    /// connection broke.
    pub fn record_alive(&mut self, server: ServerKey, sent: Moment) {
        let answered = self.answered.entry(server).or_default();
        *answered = sent.max(*answered);
        let answered = *answered;
        let mut changed = false;
        for evidence in self.subjects.values_mut() {
            let before = evidence.crashes.len();
            evidence
                .crashes
                .retain(|crash| crash.server != server || crash.at > answered);
            changed |= evidence.crashes.len() != before;
        }
        if changed {
            self.explain();
        }
        if self.answered.len() > MAX_SERVERS {
            let oldest = self.answered.iter().min_by_key(|(_, sent)| **sent);
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.answered.remove(&oldest);
            }
        }
    }

    /// Returns whether a request with these subjects may be sent. `trial_delay` returns how long after it is due this host
    /// makes a trial.
    pub fn verdict(
        &self,
        now: Moment,
        subjects: impl Iterator<Item = Subject>,
        trial_delay: impl Fn(Subject) -> Duration,
    ) -> Verdict {
        let mut verdict = Verdict::Sound;
        for subject in subjects {
            if !self.is_suspected(subject) {
                continue;
            }
            let Some(evidence) = self.subjects.get(&subject) else {
                continue;
            };
            let due = evidence.next_trial(subject.late_crashes()) + trial_delay(subject);
            let wait = due.saturating_sub(now);
            if !wait.is_zero() {
                return Verdict::Suspected(subject, wait);
            }
            verdict = Verdict::Trial(subject);
        }
        verdict
    }

    /// Records that a request with a suspected subject is sent as a trial.
    pub fn record_trial(&mut self, now: Moment, subject: Subject) {
        if let Some(evidence) = self.subjects.get_mut(&subject) {
            evidence.tried = Some(now);
        }
    }

    /// Returns the suspected subjects.
    pub fn suspected(&self) -> impl Iterator<Item = Subject> {
        let known = self.subjects.keys().copied();
        known.filter(|subject| self.is_suspected(*subject))
    }

    /// Returns the number of servers that have ended under a subject since it was last cleared.
    #[must_use]
    pub fn crashes(&self, subject: Subject) -> usize {
        self.subjects.get(&subject).map_or(0, |e| e.crashes.len())
    }

    /// Returns what this host knows, for other hosts: the subjects of most crashes first, and the newest among equal ones.
    #[must_use]
    pub fn statements(&self, now: Moment, most: usize) -> Vec<Statement> {
        // The streams that one server held are many. Each host reports its own of them.
        let is_alone =
            |evidence: &Evidence| matches!(*evidence.crashes, [Crash { shared: true, .. }]);
        let is_news = |evidence: &Evidence| {
            let cleared = evidence.cleared;
            (!evidence.crashes.is_empty() && (evidence.seen_here || !is_alone(evidence)))
                || cleared.is_some_and(|cleared| cleared + CLEARANCE_REPORTED_FOR > now)
        };
        let mut known: Vec<(&Subject, &Evidence)> =
            self.subjects.iter().filter(|(_, e)| is_news(e)).collect();
        known.sort_unstable_by_key(|(_, evidence)| {
            std::cmp::Reverse((evidence.crashes.len(), evidence.newest()))
        });
        let age = |at: Moment| now.saturating_sub(at);
        known
            .into_iter()
            .take(most)
            .map(|(subject, evidence)| Statement {
                subject: *subject,
                crashes: evidence
                    .crashes
                    .iter()
                    .map(|crash| (crash.server, age(crash.at)))
                    .collect(),
                shared: evidence
                    .crashes
                    .iter()
                    .filter(|crash| crash.shared)
                    .map(|crash| crash.server)
                    .collect(),
                cleared: evidence.cleared.map(age),
                tried: evidence.tried.map(age),
            })
            .collect()
    }

    /// Records what another host knows of a subject. Returns it if it is suspected from now on.
    pub fn learn(&mut self, now: Moment, statement: &Statement) -> Option<Subject> {
        let at = |age: Duration| now.saturating_sub(age);
        let subject = statement.subject;
        let was_suspected = self.is_suspected(subject);
        let mut changed = false;
        let known = self.subjects.get_mut(&subject);
        if let (Some(evidence), Some(age)) = (known, statement.cleared) {
            evidence.clear(at(age));
            evidence.was_answered = true;
            changed = true;
        }
        for (server, age) in &statement.crashes {
            let crash = Crash {
                server: *server,
                at: at(*age),
                shared: statement.shared.contains(server),
            };
            changed |= self.add(subject, crash);
        }
        if let (Some(evidence), Some(age)) = (self.subjects.get_mut(&subject), statement.tried) {
            evidence.tried = evidence.tried.max(Some(at(age)));
        }
        if changed {
            self.explain();
        }
        (!was_suspected && self.is_suspected(subject)).then_some(subject)
    }

    /// Forgets old evidence.
    pub fn expire(&mut self, now: Moment) {
        let before = self.subjects.len();
        self.subjects
            .retain(|_, evidence| evidence.newest() + RETENTION > now);
        if self.subjects.len() != before {
            self.explain();
        }
    }

    /// Adds a crash to a subject, unless the server has answered since. Returns whether it was not known.
    fn add(&mut self, subject: Subject, crash: Crash) -> bool {
        let answered = self.answered.get(&crash.server);
        if answered.is_some_and(|sent| *sent >= crash.at) {
            return false;
        }
        if !self.subjects.contains_key(&subject) {
            self.make_room();
        }
        let was_answered = self.answered_of(subject).contains(&subject);
        let evidence = self.subjects.entry(subject).or_insert_with(|| Evidence {
            was_answered,
            ..Evidence::default()
        });
        evidence.add(crash)
    }

    fn is_suspected(&self, subject: Subject) -> bool {
        let Some(evidence) = self.subjects.get(&subject) else {
            return false;
        };
        match subject {
            // Crashes under one of the requests that explain crashes count once.
            Subject::Part(_) => {
                let mut counted: SmallVec<[Fingerprint; 4]> = SmallVec::new();
                evidence.is_suspected(|crash| {
                    let Some((request, _)) = self.explained.get(&crash.server) else {
                        return true;
                    };
                    let is_new = !counted.contains(request);
                    counted.push(*request);
                    is_new
                })
            }
            Subject::Request(request) => {
                let crashes = evidence.crashes.len();
                evidence.is_suspected(|crash| {
                    let explained = self.explained.get(&crash.server);
                    let by_other = explained.is_some_and(|(other, their_crashes)| {
                        *other != request && *their_crashes > crashes
                    });
                    !(crash.shared && by_other)
                })
            }
        }
    }

    /// Records anew which crashes the suspected requests explain.
    fn explain(&mut self) {
        self.explained.clear();
        for (subject, evidence) in &self.subjects {
            let Subject::Request(request) = subject else {
                continue;
            };
            if !evidence.is_suspected(|_| true) {
                continue;
            }
            let crashes = evidence.crashes.len();
            for crash in &evidence.crashes {
                let explained = self.explained.entry(crash.server);
                let (known, most) = explained.or_insert((*request, crashes));
                if crashes > *most {
                    (*known, *most) = (*request, crashes);
                }
            }
        }
    }

    fn answered_of(&mut self, subject: Subject) -> &mut LruCache<Subject, ()> {
        match subject {
            Subject::Part(_) => &mut self.answered_parts,
            Subject::Request(_) => &mut self.answered_requests,
        }
    }

    /// Drops the subject of the fewest crashes, and the oldest among equal ones, if there is no room for another one.
    fn make_room(&mut self) {
        if self.subjects.len() < MAX_SUBJECTS {
            return;
        }
        let weight = |evidence: &Evidence| (evidence.crashes.len(), evidence.newest());
        let least = self.subjects.iter().min_by_key(|(_, e)| weight(e));
        if let Some(least) = least.map(|(subject, _)| *subject) {
            self.subjects.remove(&least);
        }
    }
}
