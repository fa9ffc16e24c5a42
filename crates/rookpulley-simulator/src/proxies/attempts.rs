//! How attempts of a simulated proxy end.

use super::*;

impl World {
    pub(super) fn answered(
        &mut self,
        process: usize,
        request: usize,
        attempt: u32,
        wire: u64,
        answer: Answer,
    ) {
        if self.current(process, request, attempt).is_none() {
            return;
        }
        let mutation = self.mutation;
        let end = match &answer {
            Answer::Reset { unread } => {
                // Whether anything was written is told by the connection.
                let back = self.with_work(process, request, |work, _, _| {
                    let used = work.wire.is_some_and(|(_, used)| used);
                    let back = work.resend.send_failed(*unread, used, true);
                    work.left = back == SendFailure::Interrupted;
                    back
                });
                self.end_wire(process, wire);
                self.with_work(process, request, |work, _, _| work.wire = None);
                match back {
                    Some(SendFailure::Resend) => {
                        return self.take_wire(process, request, attempt);
                    }
                    Some(SendFailure::Unsent) => AttemptEnd::Outcome(AttemptOutcome::Unsent),
                    _ => AttemptEnd::Outcome(AttemptOutcome::Interrupted),
                }
            }
            Answer::Head {
                status,
                own,
                not_executed,
                stamped,
                sized,
                whole,
                ..
            } => {
                let head = ResponseHead {
                    status: *status,
                    has_request_id: *own || mutation == Some(Mutation::AcceptAnyResponse),
                    not_executed: *not_executed,
                    is_signed: *stamped,
                    is_encoded: false,
                    has_unambiguous_length: *sized,
                };
                let end = AttemptEnd::from_verdict(evaluate(head));
                let end = end.unwrap_or(if *whole {
                    AttemptEnd::Outcome(AttemptOutcome::Answered(*status))
                } else {
                    AttemptEnd::Outcome(AttemptOutcome::Interrupted)
                });
                let in_order = matches!(
                    end,
                    AttemptEnd::Outcome(AttemptOutcome::Answered(_) | AttemptOutcome::NotExecuted)
                );
                self.with_work(process, request, |work, _, _| work.wire = None);
                match in_order {
                    true => self.free_wire(process, wire),
                    false => self.end_wire(process, wire),
                }
                end
            }
        };
        let end = match (end, mutation) {
            (AttemptEnd::Outcome(AttemptOutcome::Interrupted), Some(Mutation::BrokenAsUnsent)) => {
                AttemptEnd::Outcome(AttemptOutcome::Unsent)
            }
            (end, _) => end,
        };
        let passed = match (end, answer) {
            (
                AttemptEnd::Outcome(AttemptOutcome::Answered(status)),
                Answer::Head {
                    signature, body, ..
                },
            ) => Some(ClientResponse {
                status,
                signature,
                body,
                retry_after_ms: None,
                whole: true,
            }),
            _ => None,
        };
        self.ended(process, request, end, passed);
    }

    pub(super) fn turn(&mut self, process: usize, request: usize, attempt: u32) {
        let me = self.address(process);
        if self.current(process, request, attempt).is_none() {
            return;
        }
        let turns = self.with_work(process, request, |work, state, now| {
            (
                work.lifecycle.should_abort(state, now),
                work.lifecycle.route().deadline_ms - now,
            )
        });
        match turns {
            Some((true, _)) => self.over(process, request, attempt),
            Some((false, left_ms)) => {
                let us = (left_ms.max(0.0) * 1e3) as Us;
                self.after(us, me, What::Over { request, attempt });
            }
            None => {}
        }
    }

    /// The try is broken off.
    pub(super) fn over(&mut self, process: usize, request: usize, attempt: u32) {
        let Some(work) = self.current(process, request, attempt) else {
            return;
        };
        let (end, wire) = (AttemptEnd::from_abort(work.left, false), work.wire.take());
        if let Some((wire, _)) = wire {
            self.break_off(process, request, attempt, wire);
        }
        self.ended(process, request, end, None);
    }

    /// The connection of a request ends while a task has it.
    pub(super) fn break_off(&mut self, process: usize, request: usize, attempt: u32, wire: u64) {
        let place = self.place_of_wire(wire);
        self.end_wire(process, wire);
        if let Some(task) = place {
            let from = self.host_of(process);
            self.post(
                from,
                Host::Task(task),
                None,
                What::Dropped {
                    task,
                    wire,
                    request,
                    attempt,
                },
            );
        }
    }

    pub(super) fn ended(
        &mut self,
        process: usize,
        request: usize,
        end: AttemptEnd,
        passed: Option<ClientResponse>,
    ) {
        let status = passed.as_ref().map(|told| told.status);
        let nothing_learnt = self.mutation == Some(Mutation::IgnoreOutcomes);
        let then = self.with_work(process, request, |work, state, now| {
            let route: &RouteDecision = work.lifecycle.route();
            let (service, incarnation) = (
                route.service.clone(),
                work.to.as_ref().map(|to| to.incarnation.clone()),
            );
            let forget = match work.pick.take() {
                Some(pick) if nothing_learnt => {
                    state.endpoints.cancel(pick);
                    false
                }
                Some(pick) => state.record_attempt(&service, pick, end, work.began_ms, now),
                None => false,
            };
            // It belongs to no try any more.
            work.attempt += 1;
            let then = work.lifecycle.attempt_ended(state, now, end, status, true);
            (then, incarnation.filter(|_| forget))
        });
        let Some((then, forget)) = then else { return };
        forget
            .into_iter()
            .for_each(|incarnation| self.carry_out(process, Effect::CloseConnections(incarnation)));
        match (then, passed) {
            (AfterAttempt::Retry, _) => self.go(process, request),
            (AfterAttempt::Forward, Some(told)) => self.tell(process, request, told),
            (AfterAttempt::Forward, None) => {
                self.tell(process, request, ClientResponse::own(502, None))
            }
            (AfterAttempt::Respond(local), _) => self.tell(
                process,
                request,
                ClientResponse::own(local.status, local.retry_after_ms),
            ),
        }
    }

    /// The client has left. What may run once goes on, whatever is under way.
    pub(super) fn client_closed(&mut self, process: usize, request: usize) {
        let Some(work) = self
            .proxy(process)
            .and_then(|proxy| proxy.works.get_mut(&request))
        else {
            return;
        };
        work.gone = true;
        if work.once {
            return;
        }
        let (wire, attempt, pick) = (work.wire.take(), work.attempt, work.pick.take());
        if let Some((wire, _)) = wire {
            self.break_off(process, request, attempt, wire);
        }
        self.with_state(process, |state, _| {
            pick.into_iter()
                .for_each(|pick| state.endpoints.cancel(pick))
        });
        self.proxy(process)
            .into_iter()
            .for_each(|proxy| _ = proxy.works.remove(&request));
    }
}
