//! Hosts many instances of the decision module on the bench's wire, which share nothing but this loop.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(clippy::wildcard_imports)] // Not met yet.
#![allow(unreachable_pub)] // Not met yet.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;
use std::time::Duration;

use lilacgate_decision::{Endpoint, ListUpdate, Outcome, Request, RequestClass};
use lilacgate_start_settings::{Instance, Paths};
use wire::{EVENT, Field, Reply};

/// The largest frame taken on trust; longer ones are read only as their bytes arrive.
const FIRST_READ: u64 = 1 << 20;
/// The bench numbers its lists from 0 to 15.
const PAGES: usize = 16;

fn main() -> ExitCode {
    match serve(
        &mut BufReader::new(io::stdin().lock()),
        &mut BufWriter::new(io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lilacgate-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

struct Host {
    instances: BTreeMap<u16, Instance>,
    pages: Vec<Option<Vec<Endpoint>>>,
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host {
        instances: BTreeMap::new(),
        pages: vec![None; PAGES],
    };
    let mut reply = Reply::default();
    loop {
        let mut header = [0; 16];
        let mut got = 0;
        while got < header.len() {
            match input.read(&mut header[got..]) {
                Ok(0) if got == 0 => return Ok(()),
                Ok(0) => return Err("input ends inside a frame's header".into()),
                Ok(n) => got += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(format!("input: {e}")),
            }
        }
        let header = Field(&header);
        let rest = u64::from(header.u32(0))
            .checked_sub(16)
            .ok_or("a frame's length is shorter than its header")?;
        let mut frame = Vec::with_capacity(rest.min(FIRST_READ) as usize);
        input
            .by_ref()
            .take(rest)
            .read_to_end(&mut frame)
            .map_err(|e| format!("input: {e}"))?;
        if frame.len() as u64 != rest {
            return Err("input ends inside a frame".into());
        }
        let records = header.u32(4) as usize;
        if records
            .checked_mul(EVENT)
            .is_none_or(|bytes| bytes > frame.len())
        {
            return Err(format!(
                "a frame of {rest} bytes cannot hold {records} records"
            ));
        }
        let (records, tail) = frame.split_at(records * EVENT);
        reply.clear();
        host.batch(
            Duration::from_micros(header.u64(8)),
            records,
            tail,
            &mut reply,
        )?;
        reply
            .write(output)
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
}

impl Host {
    fn batch(
        &mut self,
        now: Duration,
        records: &[u8],
        tail: &[u8],
        reply: &mut Reply,
    ) -> Result<(), String> {
        let records: Vec<Field> = records.chunks_exact(EVENT).map(Field).collect();
        // Nothing that an instance heard before it died in this batch may lead to an action.
        let mut last_halt = BTreeMap::new();
        let mut on = None;
        for (i, r) in records.iter().enumerate() {
            match r.u8(0) {
                wire::ON => on = Some(r.u16(1)),
                wire::HALT => drop(last_halt.insert(on, i)),
                _ => {}
            }
        }
        let mut at = 0;
        let mut on = None;
        while at < records.len() {
            let from = at;
            let code = records[at].u8(0);
            if code == wire::ON {
                on = Some(records[at].u16(1));
                at += 1;
                continue;
            }
            while at < records.len() && records[at].u8(0) != wire::ON {
                at += 1;
            }
            let dead_until = last_halt
                .get(&on)
                .copied()
                .filter(|&h| h >= from)
                .map_or(from, |h| h.min(at - 1) + 1);
            for (i, r) in records[from..dead_until].iter().enumerate() {
                match r.u8(0) {
                    wire::PAGE => page(*r, tail, &mut self.pages)
                        .map_err(|e| format!("record {}: {e}", from + i))?,
                    wire::HALT => drop(on.and_then(|on| self.instances.remove(&on))),
                    _ => {}
                }
            }
            self.segment(now, on, dead_until, &records[dead_until..at], tail, reply)?;
        }
        Ok(())
    }

    /// One instance's events without a break, as one round of its module.
    fn segment(
        &mut self,
        now: Duration,
        on: Option<u16>,
        first: usize,
        records: &[Field],
        tail: &[u8],
        reply: &mut Reply,
    ) -> Result<(), String> {
        if records.iter().all(|r| r.u8(0) == wire::PAGE) {
            for (i, r) in records.iter().enumerate() {
                page(*r, tail, &mut self.pages)
                    .map_err(|e| format!("record {}: {e}", first + i))?;
            }
            return Ok(());
        }
        let on = on.ok_or_else(|| format!("record {first}: an event before any ON"))?;
        for (i, r) in records
            .iter()
            .enumerate()
            .filter(|(_, r)| r.u8(0) == wire::UP)
        {
            let place = |e| format!("record {}, UP of instance {on}: {e}", first + i);
            let text = r.slice(9, 1, tail).map_err(place)?;
            let text =
                std::str::from_utf8(text).map_err(|_| place("options are not UTF-8".into()))?;
            match lilacgate_start_settings::instance(r.u64(1), &Paths::from_lines(text)) {
                Ok(instance) => drop(self.instances.insert(on, instance)),
                Err(fault) => {
                    reply.on(on).fault(&fault);
                    return Ok(());
                }
            }
        }
        let Some(Instance {
            brain,
            products,
            zones,
        }) = self.instances.get_mut(&on)
        else {
            return Err(format!("record {first}: instance {on} was never started"));
        };
        let (pages, named) = (&mut self.pages, (*products, *zones));
        let mut fault = None;
        brain.round(
            now,
            |ear| {
                for (i, r) in records.iter().enumerate() {
                    if let Err(e) = hear(*r, tail, pages, named, ear) {
                        fault = Some(format!("record {}, instance {on}: {e}", first + i));
                        return;
                    }
                }
            },
            reply.on(on),
        );
        fault.map_or(Ok(()), Err)
    }
}

fn page(r: Field, tail: &[u8], pages: &mut [Option<Vec<Endpoint>>]) -> Result<(), String> {
    let number = r.u32(1);
    let page = pages
        .get_mut(number as usize)
        .ok_or_else(|| format!("PAGE has the number {number}"))?;
    let entries = r.slice(5, wire::ENTRY, tail)?;
    *page = Some(
        entries
            .chunks_exact(wire::ENTRY)
            .map(|e| Field(e).line())
            .collect::<Result<_, _>>()?,
    );
    Ok(())
}

fn product(r: Field, at: usize, products: usize) -> Result<RequestClass, String> {
    let product = r.product(at);
    if usize::from(product.0) < products {
        Ok(product)
    } else {
        Err(format!("product {} was never named", product.0))
    }
}

/// Hands one record to the module, field by field. `named` is how many products and zones there are.
fn hear(
    r: Field,
    tail: &[u8],
    pages: &mut [Option<Vec<Endpoint>>],
    named: (usize, usize),
    ear: &mut dyn lilacgate_decision::EventHandler,
) -> Result<(), String> {
    match r.u8(0) {
        wire::PAGE => page(r, tail, pages)?,
        wire::UP => {}
        wire::UPDATE => {
            let listing = r.listing(13)?;
            let number = r.u32(9);
            match pages.get(number as usize).and_then(Option::as_ref) {
                _ if listing == ListUpdate::Failed => {
                    ear.on_endpoints(listing, &mut std::iter::empty())
                }
                Some(lines) => match lines.iter().find(|l| usize::from(l.zone.0) >= named.1) {
                    Some(line) => return Err(format!("zone {} was never named", line.zone.0)),
                    None => ear.on_endpoints(listing, &mut lines.iter().copied()),
                },
                None => return Err(format!("UPDATE names list {number}, which was never given")),
            }
        }
        wire::INBOUND => {
            let bits = r.u8(5);
            let request = Request {
                class: product(r, 14, named.0)?,
                tenant: r.tenant(15),
                idempotency_key: Some(r.u64(6))
                    .filter(|&m| m != 0)
                    .map(lilacgate_decision::IdempotencyKey),
                deadline: r.span64(17),
                estimated_work: (bits & 1 != 0).then(|| r.span(25)),
                is_retry: bits & 2 != 0,
            };
            ear.on_request(r.request(1), request);
        }
        wire::RESOLVED => {
            if r.u8(16) != 0 {
                ear.on_load_report(r.appliance(6), &r.gauges(17, r.u8(16)));
            }
            ear.on_attempt_ended(
                r.request(1),
                r.attempt(5),
                r.appliance(6),
                r.ending(10)?,
                r.span(11),
                r.u8(15) != 0,
            );
        }
        wire::HEADERS => {
            ear.on_response_started(r.request(1), r.attempt(5), r.appliance(6), r.span(10))
        }
        wire::HANGUP => ear.on_client_left(r.request(1)),
        wire::REMINDER => ear.on_wake_up(lilacgate_decision::TimerId(r.u64(1))),
        wire::ECHO => {
            if r.u8(10) != 0 {
                ear.on_load_report(r.appliance(1), &r.gauges(11, r.u8(10)));
            }
            ear.on_health_check(r.appliance(1), r.ending(5)?, r.span(6));
        }
        wire::MAIL => {
            ear.on_peer_message(lilacgate_decision::AgentId(r.u32(1)), r.slice(5, 1, tail)?)
        }
        wire::TRIAL_NEWS => {
            let ending = r.ending(6)?;
            if ending == Outcome::Succeeded || r.u8(5) == 0 {
                ear.on_release_status(
                    r.build(1),
                    r.stage(3),
                    r.course(4)?,
                    r.share(7)?,
                    r.span(11),
                );
            }
            if r.u8(5) != 0 {
                ear.on_vote_answered(ending);
            }
        }
        wire::PERIOD_SUMS => {
            let (build, product) = (r.build(9), product(r, 11, named.0)?);
            ear.on_period_statistics(build, product, r.u32(5), r.u32(12), r.span(16), r.span(1));
        }
        wire::BAD_ANSWER => ear.on_wrong_answer(r.appliance(1), product(r, 5, named.0)?, r.span(6)),
        code => return Err(format!("unknown event code {code}")),
    }
    Ok(())
}
