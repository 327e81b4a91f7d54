// Loaded into gateway processes that tests start, before the gateway's program. On a message from the test's process it
// cuts the process's connections to certain ports of the loopback interface; all other connections work. All outgoing
// connections have the local address that the environment names, by which engines tell who sent a request.
"use strict";
const net = require("node:net"); // eslint-disable-line @typescript-eslint/no-require-imports

const { connect, _write: write, _writev: writev, _final: finish } = net.Socket.prototype;

const SOURCE_ADDRESS = process.env.SOURCE_ADDRESS;

/** Sockets that have been connected and not been closed, with their remote ports. */
const openSockets = new Map();
/** Sockets whose connections are not established until the cut has ended, with the arguments of their connect calls. */
const waitingSockets = new Map();
/** Functions that resume what a cut holds. */
const resumptions = [];
let cut = { mode: "none", ports: [] };

function getPort([first, second]) {
    const target = Array.isArray(first) ? first[0] : first;
    return Number(typeof target === "object" ? target.port : target ?? second);
}

function isCut(port) {
    return cut.mode !== "none" && cut.ports.includes(port);
}

function newError(code, syscall, port) {
    const message = `${syscall} ${code} 127.0.0.1:${port}`;
    return Object.assign(new Error(message), { code, syscall, address: "127.0.0.1", port });
}

net.Socket.prototype.connect = function connectUnlessCut(...args) {
    const port = getPort(args);
    if (SOURCE_ADDRESS !== undefined && Array.isArray(args[0])) {
        // An agent finds its sockets by the options that it passed, so these stay as they are.
        const [options] = args[0];
        args[0] = Object.assign([...args[0]], args[0], { 0: { ...options, localAddress: SOURCE_ADDRESS } });
    }
    openSockets.set(this, port);
    this.once("close", () => {
        openSockets.delete(this);
        waitingSockets.delete(this);
    });
    if (!isCut(port)) {
        return connect.apply(this, args);
    }
    this.connecting = true;
    if (cut.mode === "refuse") {
        // As with a real refusal, whoever connects sees the socket connecting before it fails.
        setImmediate(() => this.destroy(newError("ECONNREFUSED", "connect", port)));
    }
    else {
        waitingSockets.set(this, args);
    }
    return this;
};

/** Lets nothing pass on an established connection, nor its end, until the cut ends. */
function hold(socket) {
    const handle = socket._handle;
    if (handle === null || handle === undefined) {
        return;
    }
    if (socket.connecting) {
        socket.once("connect", () => isCut(openSockets.get(socket)) && hold(socket));
        return;
    }
    const held = [];
    let isReading = handle.reading;
    let closing;
    handle.readStop();
    handle.readStart = () => {
        isReading = true;
        return 0;
    };
    handle.readStop = () => {
        isReading = false;
        return 0;
    };
    handle.close = callback => {
        closing = () => handle.close();
        handle.onread = () => undefined;
        if (callback !== undefined) {
            process.nextTick(() => callback.call(handle));
        }
    };
    // As the kernel does, takes what is written and sends it when the cut ends, even if the socket is closed by then.
    const holdWrite = (send, done) => {
        held.push(send);
        socket._unrefTimer();
        process.nextTick(done);
    };
    const ignore = () => undefined;
    socket._write = (chunk, encoding, done) => holdWrite(() => write.call(socket, chunk, encoding, ignore), done);
    socket._writev = (chunks, done) => holdWrite(() => writev.call(socket, chunks, ignore), done);
    socket._final = done => holdWrite(() => finish.call(socket, ignore), done);
    resumptions.push(() => {
        delete handle.readStart;
        delete handle.readStop;
        delete handle.close;
        delete socket._write;
        delete socket._writev;
        delete socket._final;
        const { _handle: current } = socket;
        socket._handle = handle;
        held.forEach(send => send());
        socket._handle = current;
        if (closing !== undefined) {
            closing();
        }
        else if (isReading) {
            handle.readStart();
        }
    });
}

function reset(socket, port) {
    socket.resetAndClosing = socket._handle !== null && !socket.connecting;
    socket.destroy(newError("ECONNRESET", "read", port));
}

function heal() {
    cut = { mode: "none", ports: [] };
    resumptions.splice(0).forEach(resume => resume());
    const waiting = [...waitingSockets];
    waitingSockets.clear();
    for (const [socket, args] of waiting) {
        if (!socket.destroyed) {
            connect.apply(socket, args);
        }
    }
}

function applyCut({ mode, ports }) {
    heal();
    cut = { mode, ports };
    for (const [socket, port] of openSockets) {
        if (!ports.includes(port)) {
            continue;
        }
        if (mode === "hang") {
            hold(socket);
        }
        else if (mode === "reset") {
            reset(socket, port);
        }
    }
}

process.on("message", message => {
    applyCut(message);
    process.send({ appliedNumber: message.number }, () => undefined);
});
process.channel?.unref();
