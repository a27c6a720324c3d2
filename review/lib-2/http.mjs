import {connect} from 'node:net';

/** Longest wait for one response. */
const RESPONSE_TIMEOUT_MS = 8000;

/** Resolves when a socket has closed, also after an error. */
export const waitForClose = async (socket) =>
	new Promise((resolve) => {
		socket.once('close', resolve);
	});

/** Writes bytes and waits until the socket takes more, or has closed. */
export const writeAndDrain = async (socket, bytes) =>
	new Promise((resolve) => {
		if (socket.destroyed || socket.write(bytes)) {
			resolve();
			return;
		}

		const finish = () => {
			socket.off('drain', finish);
			socket.off('close', finish);
			resolve();
		};

		socket.on('drain', finish);
		socket.on('close', finish);
	});

/** Formats the head of a request. */
export const formatHead = (method, target, headers) =>
	`${method} ${target} HTTP/1.1\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;

/** Decodes chunks; `undefined` while the last one has not arrived. */
const decodeChunks = (bytes) => {
	const parts = [];
	let position = 0;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', position);
		if (lineEnd === -1) {
			return undefined;
		}

		const size = Number.parseInt(
			bytes.toString('latin1', position, lineEnd),
			16,
		);
		const end = lineEnd + 2 + size;
		if (bytes.length < end + 2) {
			return undefined;
		}

		if (size === 0) {
			return Buffer.concat(parts);
		}

		parts.push(bytes.subarray(lineEnd + 2, end));
		position = end + 2;
	}
};

/** Parses a response; `isWhole` tells whether its end has arrived. */
const parseResponse = (bytes) => {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {isWhole: false};
	}

	const [statusLine, ...lines] = bytes
		.toString('latin1', 0, headEnd)
		.split('\r\n');
	const headers = Object.fromEntries(
		lines.map((line) => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
		}),
	);
	const rest = bytes.subarray(headEnd + 4);
	const status = Number(statusLine.split(' ')[1]);
	if (headers['transfer-encoding'] === 'chunked') {
		const body = decodeChunks(rest);
		return {isWhole: body !== undefined, status, headers, body: body ?? rest};
	}

	const length = Number(headers['content-length'] ?? 0);
	return {
		isWhole: rest.length >= length,
		status,
		headers,
		body: rest.subarray(0, length),
	};
};

/**
 * Sends one request on a new connection and reads its response. Without a whole response, `error` tells why.
 */
export const fetchOnce = async (
	{host, port},
	{
		method = 'GET',
		target = '/',
		headers = [],
		body = Buffer.alloc(0),
		hostname = `${host}:${port}`,
		timeoutMs = RESPONSE_TIMEOUT_MS,
	} = {},
) => {
	const socket = connect({host, port});
	const closed = waitForClose(socket);
	const received = [];
	let error = 'connection closed before the end of the response';
	socket.setTimeout(timeoutMs, () => {
		error = 'no response in time';
		socket.destroy();
	});
	socket.on('error', ({code}) => {
		error = code;
	});
	const hasLength = body.length > 0 || method === 'POST';
	socket.write(
		formatHead(method, target, [
			['Host', hostname],
			...headers,
			...(hasLength ? [['Content-Length', body.length]] : []),
		]),
	);
	socket.write(body);
	socket.on('data', (chunk) => {
		received.push(chunk);
		if (parseResponse(Buffer.concat(received)).isWhole) {
			socket.destroy();
		}
	});
	await closed;
	const response = parseResponse(Buffer.concat(received));
	return response.isWhole
		? response
		: {...response, status: response.status ?? 0, error};
};
