//! Functions that replace those of the C library by symbol interposition. Each asks the injector for a fault, and calls
//! the real function if there is none.
//!
//! # Safety
//! Each function has the contract of the C library function that it replaces, including raw pointers, and looks up the
//! real function by its name. Pointers are passed on unchanged. Only paths are read, which the contract of the C
//! library requires to be valid strings, and only the time that the real `clock_gettime` has filled in is written.
use std::ffi::{CStr, c_char, c_int, c_void};
use std::mem::transmute_copy;
use std::sync::atomic::{AtomicPtr, Ordering::Relaxed};

use libc::{clockid_t, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::injector::{self, CallTarget, Injector};
use lilacgate_fault_script::script::{Call, Fault};

const MILLISECONDS_PER_SECOND: i64 = 1_000;
const NANOSECONDS_PER_MILLISECOND: i64 = 1_000_000;

/// Runs when the library is loaded, before the program itself.
#[used]
#[unsafe(link_section = ".init_array")]
static ON_LOAD: extern "C" fn() = on_load;

extern "C" fn on_load() {
    injector::start(monotonic_ms());
}

/// A function of the C library, looked up at its first use.
struct RealFunction {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
}

impl RealFunction {
    const fn new(name: &'static CStr) -> RealFunction {
        RealFunction {
            name,
            address: AtomicPtr::new(std::ptr::null_mut()),
        }
    }

    /// Returns the function. `F` must be its type.
    unsafe fn get<F: Copy>(&self) -> F {
        let mut address = self.address.load(Relaxed);
        if address.is_null() {
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            if address.is_null() {
                // The call cannot be executed without the real function.
                std::process::abort();
            }
            self.address.store(address, Relaxed);
        }
        unsafe { transmute_copy(&address) }
    }
}

type ClockGetTime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
static REAL_CLOCK_GETTIME: RealFunction = RealFunction::new(c"clock_gettime");

fn monotonic_ms() -> u64 {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    unsafe { REAL_CLOCK_GETTIME.get::<ClockGetTime>()(libc::CLOCK_MONOTONIC, &raw mut time) };
    (time.tv_sec * MILLISECONDS_PER_SECOND + time.tv_nsec / NANOSECONDS_PER_MILLISECOND) as u64
}

/// Asks the injector for the fault of a call. A delay is executed here, and the call then has no other fault.
fn injected_fault(call: Call, target: CallTarget<'_>) -> Option<Fault> {
    let fault = Injector::get()?.choose_fault(call, target, monotonic_ms())?;
    if let Fault::DelayMs(delay) = fault {
        std::thread::sleep(std::time::Duration::from_millis(delay));
        return None;
    }
    Some(fault)
}

/// Sets `errno` for a failed call.
fn set_errno(error: i32) {
    unsafe { *libc::__errno_location() = error };
}

/// Returns the number of bytes that a call may transfer, or the `errno` value that it fails with.
fn length_or_error(call: Call, target: CallTarget<'_>, length: size_t) -> Result<size_t, i32> {
    match injected_fault(call, target) {
        Some(Fault::Error(error)) => Err(error),
        Some(Fault::Short) => Ok(length.min(1)),
        _ => Ok(length),
    }
}

/// Returns the `errno` value that a call fails with; `None` if it does not fail.
fn injected_error(call: Call, target: CallTarget<'_>) -> Option<i32> {
    match injected_fault(call, target) {
        Some(Fault::Error(error)) => Some(error),
        _ => None,
    }
}

/// Defines a function that replaces the C library function of the same name. It fails if `$error` is an `errno` value,
/// and calls the real function otherwise.
macro_rules! interpose {
    ($real:ident, $name:ident($($argument:ident: $kind:ty),*) -> $result:ty, $error:expr) => {
        static $real: RealFunction = match CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
            Ok(name) => RealFunction::new(name),
            Err(_) => panic!("the function name contains a NUL byte"),
        };

        #[unsafe(no_mangle)]
        unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            if let Some(error) = $error {
                set_errno(error);
                return -1;
            }
            unsafe { $real.get::<unsafe extern "C" fn($($kind),*) -> $result>()($($argument),*) }
        }
    };
}

/// Defines a function that replaces one that transfers bytes; the transfer may also be shortened.
macro_rules! interpose_transfer {
    ($real:ident, $name:ident($file:ident, $buffer:ident: $pointer:ty, $length:ident $(, $more:ident: $kind:ty)*), $call:expr, $target:expr) => {
        static $real: RealFunction = match CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
            Ok(name) => RealFunction::new(name),
            Err(_) => panic!("the function name contains a NUL byte"),
        };

        #[unsafe(no_mangle)]
        unsafe extern "C" fn $name($file: c_int, $buffer: $pointer, $length: size_t $(, $more: $kind)*) -> ssize_t {
            match length_or_error($call, $target, $length) {
                Ok(length) => unsafe {
                    $real.get::<unsafe extern "C" fn(c_int, $pointer, size_t $(, $kind)*) -> ssize_t>()(
                        $file, $buffer, length $(, $more)*
                    )
                },
                Err(error) => {
                    set_errno(error);
                    -1
                }
            }
        }
    };
}

interpose!(REAL_ACCEPT4, accept4(file: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int,
    injected_error(Call::Accept, CallTarget::Other));
interpose!(REAL_SOCKET, socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int,
    injected_error(Call::Socket, CallTarget::Other));
interpose!(REAL_CONNECT, connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int,
    injected_error(Call::Connect, CallTarget::Other));
interpose!(REAL_FSYNC, fsync(file: c_int) -> c_int, injected_error(Call::Sync, CallTarget::File(file)));
interpose!(REAL_FDATASYNC, fdatasync(file: c_int) -> c_int, injected_error(Call::Sync, CallTarget::File(file)));
interpose!(REAL_RENAME, rename(from: *const c_char, to: *const c_char) -> c_int,
    injected_error(Call::Rename, CallTarget::Path(unsafe { text(to) })));

interpose_transfer!(REAL_RECV, recv(file, buffer: *mut c_void, length, flags: c_int), Call::Receive, CallTarget::Other);
interpose_transfer!(REAL_WRITE, write(file, buffer: *const c_void, length), Call::Write, CallTarget::File(file));

static REAL_SEND: RealFunction = RealFunction::new(c"send");
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// Replaces `send`. Sends with `MSG_DONTWAIT` are passed on without a fault: signal handlers use them, and the lock of
/// the injector must not be taken in a signal handler.
#[unsafe(no_mangle)]
unsafe extern "C" fn send(
    file: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let allowed = if flags & libc::MSG_DONTWAIT == 0 {
        length_or_error(Call::Send, CallTarget::Other, length)
    } else {
        Ok(length)
    };
    match allowed {
        Ok(length) => unsafe { REAL_SEND.get::<Send>()(file, buffer, length, flags) },
        Err(error) => {
            set_errno(error);
            -1
        }
    }
}

/// Returns a path as text; empty if it is not valid UTF-8.
unsafe fn text<'a>(path: *const c_char) -> &'a str {
    unsafe { CStr::from_ptr(path) }.to_str().unwrap_or_default()
}

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
static REAL_OPEN64: RealFunction = RealFunction::new(c"open64");

/// Replaces `open64`, which is variadic: the third argument is always declared here, and is used only if the flags
/// require a mode.
#[unsafe(no_mangle)]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let path_text = unsafe { text(path) };
    if let Some(error) = injected_error(Call::Open, CallTarget::Path(path_text)) {
        set_errno(error);
        return -1;
    }
    let file = unsafe { REAL_OPEN64.get::<Open>()(path, flags, mode) };
    if let Some(injector) = Injector::get()
        && file >= 0
    {
        injector.opened(path_text, file);
    }
    file
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = unsafe { REAL_CLOCK_GETTIME.get::<ClockGetTime>()(clock, time) };
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    let Some(injector) = Injector::get() else {
        return result;
    };
    let step = injector.clock_step(monotonic_ms());
    if let Some(time) = unsafe { time.as_mut() } {
        let milliseconds = time.tv_nsec / NANOSECONDS_PER_MILLISECOND + step;
        time.tv_sec += milliseconds.div_euclid(MILLISECONDS_PER_SECOND);
        time.tv_nsec = milliseconds.rem_euclid(MILLISECONDS_PER_SECOND)
            * NANOSECONDS_PER_MILLISECOND
            + time.tv_nsec % NANOSECONDS_PER_MILLISECOND;
    }
    result
}
