//! The platform's object store: lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Connection};

#[derive(Default)]
struct Objects {
    revision: u64,
    values: BTreeMap<(String, String), (u64, String)>,
    /// Changes as revision, kind and event.
    history: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
    silent: Arc<AtomicBool>,
}

impl Store {
    /// Listens at one more address.
    pub fn listen(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(())
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, value: &str) {
        let mut objects = self.objects.0.lock().expect("not poisoned");
        objects.write(kind, name, value);
        self.objects.1.notify_all();
    }

    /// Answers nothing while set. Calls and watches wait, and go on afterwards.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
        self.objects.1.notify_all();
    }

    fn wait_while_silent(&self) {
        while self.silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Lets all objects of a kind expire, and their writers write them again at once.
    pub fn expire_and_return(&self, kind: &str) {
        let mut objects = self.lock();
        let known: Vec<(String, String)> = objects
            .values
            .iter()
            .filter(|((of, _), _)| of == kind)
            .map(|((_, name), (_, value))| (name.clone(), value.clone()))
            .collect();
        for (name, _) in &known {
            objects.remove(kind, name);
        }
        for (name, value) in &known {
            objects.write(kind, name, value);
        }
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.lock();
        objects.remove(kind, name);
        self.objects.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let (method, target) = (request.word(0), request.word(1));
            self.wait_while_silent();
            let (status, body) = self.answer(method, target, &request.text());
            self.wait_while_silent();
            let headers = "content-type: application/json\r\nstore-era: 1\r\n";
            if connection.reply(status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/v1/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match (method, name) {
            ("GET", None) => match parameter("watch") {
                Some(after) => self.watch(kind, after, parameter("waitMs").unwrap_or(0)),
                None => ("200 OK", self.lock().list(kind)),
            },
            ("GET", Some(name)) => self.lock().read(kind, name),
            ("POST", None) => {
                let name = http::string(body, "name").unwrap_or_default();
                self.write(kind, &name, None, body)
            }
            ("PUT", Some(name)) => {
                let revision = http::number(body, "rev").unwrap_or(0);
                self.write(kind, name, Some(revision), body)
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects.0.lock().expect("not poisoned")
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        body: &str,
    ) -> (&'static str, String) {
        let mut objects = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let present = objects.values.get(&key).map(|(revision, _)| *revision);
        if present != expected {
            return ("409 Conflict", objects.read(kind, name).1);
        }
        // The spec is the last field of the body.
        let spec = http::value(body, "spec").and_then(|rest| rest.strip_suffix('}'));
        objects.write(kind, name, spec.unwrap_or("null"));
        self.objects.1.notify_all();
        objects.read(kind, name)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.lock();
        loop {
            let new = |(revision, of, _): &&(u64, String, String)| *revision > after && of == kind;
            let events: Vec<&str> = objects
                .history
                .iter()
                .filter(new)
                .map(|(.., event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if self.silent.load(Ordering::SeqCst) {
                drop(events);
                drop(objects);
                self.wait_while_silent();
                objects = self.lock();
                continue;
            }
            if !events.is_empty() || left.is_zero() {
                let text = events.join(",");
                let revision = objects.revision;
                return (
                    "200 OK",
                    format!("{{\"events\":[{text}],\"asOf\":{revision}}}"),
                );
            }
            let waited = self.objects.1.wait_timeout(objects, left);
            objects = waited.expect("not poisoned").0;
        }
    }
}

impl Objects {
    fn remove(&mut self, kind: &str, name: &str) {
        self.revision += 1;
        let revision = self.revision;
        self.values.remove(&(kind.to_owned(), name.to_owned()));
        let event = format!(
            "{{\"removed\":true,\"object\":{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{revision}}}}}}}"
        );
        self.history.push((revision, kind.to_owned(), event));
    }

    fn write(&mut self, kind: &str, name: &str, value: &str) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        self.values.insert(key, (self.revision, value.to_owned()));
        let object = self.read(kind, name).1;
        let event = format!("{{\"removed\":false,\"object\":{object}}}");
        self.history.push((self.revision, kind.to_owned(), event));
    }

    fn read(&self, kind: &str, name: &str) -> (&'static str, String) {
        match self.values.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, value)) => (
                "200 OK",
                format!(
                    "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{revision},\"createRev\":1,\
                     \"finalizers\":[],\"deleting\":false}},\"spec\":{value},\"status\":null}}"
                ),
            ),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let names = self.values.keys().filter(|(of, _)| of == kind);
        let items: Vec<String> = names.map(|(_, name)| self.read(kind, name).1).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            self.revision
        )
    }
}
