// A server's answers have no length and end with their connection; some are reset on the way.
import {
	call,
	createDocument,
	createId,
	Deployment,
	hasTrouble,
	runCase,
	signatureOf,
	sleep,
	StandInServer,
	turnHeaders,
} from '../lib/harness.mjs';

const REQUESTS = 40;

/** One answer in this many is reset. */
const RESET_EVERY = 9;

const EVENTS = 12;

const deployment = new Deployment();
const {hostname} = deployment;
/** What the servers did with each request. */
const answers = new Map();

await runCase(import.meta.dirname, deployment, async (recorder) => {
	let runCount = 0;
	const answerUnframed = (contentType, createPieces, pauseMs) =>
		async function ({run, request, server}) {
			const {requestId} = run;
			const {socket} = request;
			runCount++;
			const isReset = hasTrouble && runCount % RESET_EVERY === 0;
			const pieces = createPieces(requestId);
			const sent = isReset ? pieces.slice(0, pieces.length / 2) : pieces;
			answers.set(requestId, {isReset, body: pieces.join('')});
			recorder.write(
				`server ${server.id} runs ${requestId}, sends ${sent.length} of ${pieces.length} pieces without a length, ${isReset ? 'resets the connection' : 'ends the connection'}`,
			);
			socket.write(
				`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: ${signatureOf(requestId)}\r\nContent-Type: ${contentType}\r\nConnection: close\r\n\r\n`,
			);
			for (const piece of sent) {
				await sleep(pauseMs);
				socket.write(piece, 'latin1');
			}

			await sleep(pauseMs);
			if (isReset) {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		};

	const desk = new StandInServer({
		id: 'i-desk',
		service: 'desk',
		onRun: answerUnframed(
			'text/plain',
			(id) => Array.from({length: 4}, (_, n) => `${id}-${n};`.repeat(10)),
			10,
		),
	});
	const model = new StandInServer({
		id: 'i-model',
		service: 'models',
		onRun: answerUnframed(
			'text/event-stream',
			(id) =>
				Array.from(
					{length: EVENTS},
					(_, n) => `id: ${n + 1}\ndata: ${id}-${n + 1}\n\n`,
				),
			15,
		),
	});
	await deployment.start({
		servers: [desk, model],
		document: createDocument(7, hostname),
	});
	const entry = deployment.addressOf(deployment.namesOf('entry')[0], 'front');
	const breaches = [];
	for (let count = 0; count < REQUESTS; count++) {
		const requestId = createId();
		const isTurn = count % 2 === 0;
		const {status, body, headers, isComplete, error} = await call(
			entry,
			isTurn ? '/turns/1' : '/orders/1',
			{
				method: 'POST',
				headers: isTurn
					? turnHeaders(hostname, requestId, `p${count}`)
					: {
							Host: hostname,
							'Request-Id': requestId,
							'Deadline-Ms': '3000',
						},
				body: 'input',
			},
		);
		recorder.write(
			`client sent ${requestId} (${isTurn ? 'turn' : 'order'}), got ${status ?? error}, ${isComplete ? 'complete' : 'not complete'}, ${body.length} bytes`,
		);
		const answer = answers.get(requestId);
		const isShort = status === 200 && isComplete && body !== answer.body;
		if (isShort) {
			breaches.push(
				`${isTurn ? 'ORDER' : 'MIXED'}: ${requestId} was reset by its server after ${body.length} of ${answer.body.length} bytes and looks complete to the client (signature ${headers['response-signature']})`,
			);
		}
	}

	return breaches;
});
