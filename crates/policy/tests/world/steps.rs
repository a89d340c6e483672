//! The steps of the simulation: script events, arrivals, answers and failures. Also its measures.

use super::*;

impl World {
    /// Carries out a line `at TIME VERB ARGUMENTS`.
    pub(super) fn apply_script_line(&mut self, index: usize) {
        let script = Arc::clone(&self.script);
        let words = script.starting_with("at").nth(index).expect("a line");
        let subject = words.get(2).map_or("", String::as_str);
        let number = subject
            .trim_start_matches(|c: char| c.is_alphabetic())
            .parse()
            .unwrap_or(0);
        match words[1].as_str() {
            "crash" => self.crash(number),
            "restore" => self.engines[number].up = true,
            "silence" => {
                let live = self.attempts.values_mut().filter(|a| a.server == number);
                live.for_each(|attempt| attempt.silent = true);
            }
            "slow" => self.engines[number].slow_factor = words[3].parse().expect("a factor"),
            "restart" => (0..self.daemons.len()).for_each(|daemon| self.restart(daemon)),
            "cut" | "join" => {
                let reachable = words[1] == "join";
                self.cut_data_centre = (!reachable).then_some(number);
                self.schedule(
                    self.now + Duration::from_secs(1),
                    WorldEvent::AnnounceReachable(number, reachable),
                );
            }
            "leave" | "return" => {
                let leaving = words[1] == "leave";
                self.left_at[number] = leaving.then_some(self.now);
                self.schedule(
                    self.now + Duration::from_secs(1),
                    WorldEvent::AnnounceLeaving(number, leaving),
                );
            }
            "rate" | "shift" => {
                let found = self.traffic.iter().position(|t| t.name == subject);
                let at = found.expect("known traffic");
                let traffic = &mut self.traffic[at];
                if words[1] == "shift" {
                    traffic.epoch += 1;
                    return;
                }
                traffic.rate = words[3].parse().expect("a rate");
                traffic.arrivals += 1;
                let arrivals = traffic.arrivals;
                self.schedule(self.now, WorldEvent::Arrival(at, arrivals));
            }
            verb => panic!("unknown event {verb}"),
        }
    }

    fn crash(&mut self, server: usize) {
        for job in self.engines[server].crash() {
            if self.attempts.remove(&job).is_some() {
                self.fail_attempt(job, Failure::Broken);
            }
        }
    }

    fn restart(&mut self, daemon: usize) {
        let lost: Vec<Job> = self
            .attempts
            .keys()
            .filter(|job| job.0 == daemon)
            .copied()
            .collect();
        for job in lost {
            let attempt = self.attempts.remove(&job).expect("listed");
            self.engines[attempt.server].stop(job);
            self.schedule(self.now, WorldEvent::StartJobs(attempt.server, 0));
        }
        for record in &mut self.records {
            if record.request.id as usize % self.daemons.len() == daemon && record.ended.is_none() {
                record.lost = true;
                record.ended = Some((self.now, None));
            }
        }
        self.daemons[daemon] = self.new_router(daemon);
    }

    pub(super) fn announce_reachable(&mut self, cut: usize, reachable: bool) {
        let data_centres = self.parameter_count("data_centres");
        for daemon in 0..self.daemons.len() {
            for centre in 0..data_centres {
                if (centre == cut) != (daemon % data_centres == cut) {
                    let data_centre = self.data_centre(centre);
                    self.handle_event(
                        daemon,
                        Event::Reachable {
                            data_centre,
                            reachable,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn submit_request(&mut self, index: usize, arrivals: u64) {
        if self.now >= self.end || self.traffic[index].arrivals != arrivals {
            return;
        }
        let id = self.records.len() as u64;
        let request = self.request(index, id);
        let answer = self.traffic[index].answer;
        let levels = request.chain.levels();
        let known = levels
            .iter()
            .rev()
            .find(|level| self.seen_levels.contains(&level.hash));
        let reusable_tokens = known.map_or(0, |level| level.end);
        self.seen_levels
            .extend(levels.iter().map(|level| level.hash));
        self.records.push(Record {
            traffic: index,
            submitted: self.now,
            request: request.clone(),
            answer: self.random.random_range(answer / 2..=answer * 3 / 2),
            received: 0,
            first_token: None,
            ended: None,
            lost: false,
            runs: 0,
            sends: 0,
            cached_tokens: None,
            reusable_tokens,
        });
        self.handle_event(id as usize % self.daemons.len(), Event::Submit(request));
        let pause = -self.random.random::<f64>().max(1e-9).ln() / self.traffic[index].rate;
        let next = self.now + Duration::from_secs_f64(pause);
        self.schedule(next, WorldEvent::Arrival(index, arrivals));
    }

    /// Creates the next turn of a random conversation with a random prompt. Lower prompt numbers are hotter.
    fn request(&mut self, index: usize, id: RequestId) -> Request {
        let traffic = &mut self.traffic[index];
        let hot: f64 = self.random.random::<f64>().powi(2);
        let prompt = (hot * traffic.prompts as f64) as u64;
        let conversation = self.random.random_range(0..traffic.conversations);
        let (generation, turns) = traffic
            .turns
            .entry(conversation * 1_000 + prompt)
            .or_default();
        *turns += 1;
        if *turns > 8 {
            (*generation, *turns) = (*generation + 1, 1);
        }
        let text = |words: [u64; 4], length: usize| {
            let text = format!("{words:?}");
            text.bytes().cycle().take(length).collect::<Vec<u8>>()
        };
        let mut segments = vec![text([traffic.epoch, prompt, 0, 0], traffic.system)];
        for turn in 0..*turns as u64 {
            segments.push(text(
                [prompt, conversation, *generation, turn + 1],
                traffic.turn,
            ));
        }
        let salt = Salt::new(&traffic.team, "m", "", "v1");
        let tokens: usize = segments.iter().map(Vec::len).sum();
        Request {
            id,
            team: traffic.team.as_str().into(),
            kind: traffic.name.as_str().into(),
            urgency: traffic.urgency,
            repeat: traffic.repeat,
            chain: Chain::new(salt, 4_000, segments.iter().map(Vec::as_slice)),
            prompt_tokens: tokens as u32,
            expected_tokens: traffic.expected,
            deadline: self.now + traffic.deadline,
            first_token_target: Duration::from_millis(340),
            servers: (0..self.engines.len() as u32).collect(),
        }
    }

    /// Passes an event to a daemon's router and carries out its actions.
    pub(super) fn handle_event(&mut self, daemon: usize, event: Event) {
        let mut actions = Vec::new();
        self.daemons[daemon].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { .. } => self.dispatch(daemon, &action),
                Action::CancelAttempt {
                    request,
                    attempt,
                    server,
                } => {
                    let job = (daemon, request, attempt);
                    self.attempts.remove(&job);
                    self.engines[server as usize].stop(job);
                    self.schedule(self.now, WorldEvent::StartJobs(server as usize, 0));
                }
                Action::Refuse {
                    request, outcome, ..
                } => {
                    self.finish(request, Some(outcome));
                }
            }
        }
        if let Some(wake) = self.daemons[daemon]
            .next_wake()
            .map(|wake| wake.max(self.now))
            && wake < self.next_wakes[daemon]
        {
            self.next_wakes[daemon] = wake;
            self.schedule(wake, WorldEvent::Wake(daemon));
        }
    }

    fn dispatch(&mut self, daemon: usize, action: &Action) {
        let Action::Dispatch {
            request,
            attempt,
            server,
            priority,
            first_token_timeout,
            inter_token_timeout,
            resume,
            ..
        } = *action
        else {
            return;
        };
        let (job, server) = ((daemon, request, attempt), server as usize);
        self.records[request as usize].sends += 1;
        self.dispatches.push((self.now, server));
        let data_centres = self.parameter_count("data_centres");
        let apart = |cut| (server % data_centres == cut) != (daemon % data_centres == cut);
        let silent = self.cut_data_centre.is_some_and(apart);
        self.attempts.insert(
            job,
            Attempt {
                server,
                timeouts: (first_token_timeout, inter_token_timeout),
                last_received_at: self.now,
                first_token: false,
                resume,
                silent,
            },
        );
        let soon = self.now + Duration::from_millis(1);
        self.schedule(
            self.now + first_token_timeout,
            WorldEvent::CheckTimeout(job),
        );
        let engine = &mut self.engines[server];
        let has_left =
            self.left_at[server].is_some_and(|left| self.now > left + Duration::from_secs(3));
        if !engine.up || has_left {
            self.schedule(soon, WorldEvent::SendFailure(job, has_left));
        } else if !silent {
            if resume {
                engine
                    .running
                    .retain(|known| (known.0, known.1) != (daemon, request));
            }
            engine.enqueue(priority, job);
            self.schedule(soon, WorldEvent::StartJobs(server, 0));
        }
    }

    pub(super) fn start_jobs(&mut self, server: usize) {
        while let Some(job) = self.engines[server].start_next() {
            let token = Duration::from_secs_f64(self.parameter("token_ms") / 1_000.0);
            let prefill = Duration::from_secs_f64(self.parameter("prefill_us") / 1_000_000.0);
            let record = &mut self.records[job.1 as usize];
            let engine = &mut self.engines[server];
            let attempt = self.attempts.get_mut(&job).expect("a known attempt");
            let silent = attempt.silent;
            if attempt.resume {
                let at = self.now + token.mul_f64(engine.slow_factor);
                self.schedule(at, WorldEvent::FirstToken(job));
                continue;
            }
            record.runs += 1;
            let cached_tokens = engine.lookup(self.now, record.request.chain.levels());
            let missed = record.request.prompt_tokens - cached_tokens;
            record.cached_tokens.get_or_insert(cached_tokens);
            let incarnation = engine.incarnation;
            let at =
                engine.prefill(self.now, prefill * missed) + OVERHEAD.mul_f64(engine.slow_factor);
            self.schedule(at, WorldEvent::FirstToken(job));
            if !silent {
                let (daemon, request, attempt) = job;
                self.handle_event(
                    daemon,
                    Event::Accepted {
                        request,
                        attempt,
                        cached_tokens,
                        incarnation,
                    },
                );
            }
        }
    }

    pub(super) fn deliver_tokens(&mut self, job: Job, first: bool) {
        let Some(live) = self.attempts.get_mut(&job).filter(|live| !live.silent) else {
            return;
        };
        live.last_received_at = self.now;
        live.first_token = true;
        let server = live.server;
        let (daemon, request, attempt) = job;
        let record = &mut self.records[request as usize];
        if first {
            record.first_token.get_or_insert(self.now);
            self.engines[server].store(self.now, record.request.chain.levels());
            self.handle_event(daemon, Event::FirstToken { request, attempt });
        } else {
            let tokens = CHUNK.min(record.answer.saturating_sub(record.received));
            record.received += tokens;
            if record.received >= record.answer {
                self.attempts.remove(&job);
                self.engines[server].stop(job);
                self.finish(request, Some(Outcome::Done));
                self.handle_event(
                    daemon,
                    Event::Finished {
                        request,
                        attempt,
                        tokens,
                    },
                );
                self.start_jobs(server);
                return;
            }
            self.handle_event(
                daemon,
                Event::Progress {
                    request,
                    attempt,
                    tokens,
                },
            );
        }
        let chunk = self.parameter("token_ms") / 1_000.0
            * f64::from(CHUNK)
            * self.engines[server].slow_factor;
        let at = self.now + Duration::from_secs_f64(chunk);
        self.schedule(at, WorldEvent::Chunk(job));
    }

    pub(super) fn check_timeout(&mut self, job: Job) {
        let Some(live) = self.attempts.get(&job) else {
            return;
        };
        let limit = if live.first_token {
            live.timeouts.1
        } else {
            live.timeouts.0
        };
        if self.now < live.last_received_at + limit {
            self.schedule(live.last_received_at + limit, WorldEvent::CheckTimeout(job));
            return;
        }
        self.attempts.remove(&job);
        self.fail_attempt(job, Failure::Silent);
    }

    pub(super) fn fail_attempt(&mut self, job: Job, failure: Failure) {
        let (daemon, request, attempt) = job;
        self.handle_event(
            daemon,
            Event::Failed {
                request,
                attempt,
                failure,
            },
        );
    }

    pub(super) fn send_reports(&mut self) {
        let lag = Duration::from_secs_f64(self.parameter("report_lag_s"));
        for server in 0..self.engines.len() {
            let engine = &self.engines[server];
            let (running, waiting) = (engine.running.len() as u32, engine.waiting() as u32);
            self.schedule(
                self.now + lag,
                WorldEvent::DeliverReport(server, running, waiting),
            );
        }
        if self.now < self.end {
            self.schedule(self.now + Duration::from_secs(1), WorldEvent::SendReports);
        }
    }

    fn finish(&mut self, request: RequestId, outcome: Option<Outcome>) {
        let record = &mut self.records[request as usize];
        assert!(record.ended.is_none(), "request {request} ends twice");
        record.ended = Some((self.now, outcome));
    }

    /// Checks what must hold in every scenario: each request ends, only repeatable ones run more than once, `NotRun` is
    /// correct, and the routers hold nothing at the end.
    pub(super) fn check_invariants(&self) {
        for record in &self.records {
            let id = record.request.id;
            let (_, outcome) = record
                .ended
                .unwrap_or_else(|| panic!("request {id} never ends"));
            if record.request.repeat != RepeatRule::Repeatable {
                assert!(record.runs <= 1, "request {id} runs {} times", record.runs);
            }
            assert!(
                outcome != Some(Outcome::NotRun) || record.runs == 0,
                "wrong not_run of {id}"
            );
        }
        for (daemon, router) in self.daemons.iter().enumerate() {
            let held: u32 = (0..self.engines.len() as u32)
                .map(|s| router.in_flight(s))
                .sum();
            assert_eq!(
                (router.requests(), held),
                (0, 0),
                "daemon {daemon} holds requests"
            );
        }
    }

    /// Returns the measures of each traffic, one line per traffic.
    pub fn summary(&self) -> String {
        let names =
            "submitted answered sends first_token_p50 first_token_p99 whole_p50 whole_p99 hit_rate";
        let mut text = String::new();
        for traffic in &self.traffic {
            text += &format!("  {:10}", traffic.name);
            for name in names.split(' ') {
                let window = (Duration::ZERO, Duration::MAX);
                let (name, subject) = (name.to_owned(), traffic.name.clone());
                let measure = Measure {
                    name,
                    subject,
                    window,
                };
                text += &format!(" {} {:.4}", measure.name, self.measure(&measure));
            }
            text += "\n";
        }
        text
    }

    pub fn measure(&self, measure: &Measure) -> f64 {
        let (from, to) = measure.window;
        let sent = || {
            self.dispatches
                .iter()
                .filter(|(at, _)| *at >= from && *at < to)
        };
        if measure.name == "dispatches" {
            let server = measure.subject.trim_start_matches('s').parse();
            return sent().filter(|(_, s)| server == Ok(*s)).count() as f64;
        }
        if measure.name == "busiest" {
            let of = |server| sent().filter(|(_, s)| *s == server).count();
            let max_dispatches = (0..self.engines.len()).map(of).max().unwrap_or(0);
            return max_dispatches as f64 / sent().count() as f64;
        }
        let of = |r: &&Record| {
            self.traffic[r.traffic].name == measure.subject
                && r.submitted >= from
                && r.submitted < to
        };
        let records: Vec<&Record> = self.records.iter().filter(of).filter(|r| !r.lost).collect();
        let done = |r: &&&Record| matches!(r.ended, Some((_, Some(Outcome::Done))));
        let total = records.len() as f64;
        let since = |r: &Record, at: Moment| at.saturating_sub(r.submitted).as_secs_f64();
        let answered = || records.iter().filter(done);
        let first = || answered().filter_map(|r| Some(since(r, r.first_token?)));
        let whole = || answered().filter_map(|r| Some(since(r, r.ended?.0)));
        match measure.name.as_str() {
            "submitted" => total,
            "answered" => answered().count() as f64 / total,
            "sends" => records.iter().map(|r| f64::from(r.sends)).sum::<f64>() / total,
            "first_token_p50" => quantile(first(), 0.5),
            "first_token_p99" => quantile(first(), 0.99),
            "whole_p50" => quantile(whole(), 0.5),
            "whole_p99" => quantile(whole(), 0.99),
            // Relative to the hits of an unbounded cache.
            "hit_rate" => hit_rate(&records),
            "wasted" => 1.0 - hit_rate(&records),
            name => panic!("unknown measure {name}"),
        }
    }
}

fn hit_rate(records: &[&Record]) -> f64 {
    let held = records
        .iter()
        .filter_map(|r| r.cached_tokens)
        .map(f64::from)
        .sum::<f64>();
    held / records
        .iter()
        .map(|r| f64::from(r.reusable_tokens))
        .sum::<f64>()
}

fn quantile(values: impl Iterator<Item = f64>, quantile: f64) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1) as f64;
    values
        .get((last * quantile).round() as usize)
        .copied()
        .unwrap_or(f64::NAN)
}
