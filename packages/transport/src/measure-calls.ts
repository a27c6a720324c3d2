// Measures calls per second and CPU time per call over one link. Client and server run in one process, so
// the CPU time covers both ends.
import * as z from 'zod';
import {PeerClient} from './peer-client.ts';
import {createPeerRouter} from './peer-router.ts';
import {PeerServer} from './peer-server.ts';

const measuredCalls = 20_000;
const payload = {programId: 'p1-0123456789', text: 'x'.repeat(200)};

const router = createPeerRouter({
	'echo.payload': {
		kind: 'call',
		input: z.object({programId: z.string(), text: z.string()}),
		run: async (input: typeof payload) => input,
	},
});
const server = new PeerServer({
	listen: {host: '127.0.0.1', port: 0},
	router,
});
const port = await server.start();

const measure = async (
	name: string,
	concurrency: number,
	call: () => Promise<unknown>,
) => {
	const runCalls = async (count: number) => {
		let remaining = count;
		await Promise.all(
			Array.from({length: concurrency}, async () => {
				while (remaining-- > 0) {
					await call();
				}
			}),
		);
	};

	// Warm-up, not measured.
	await runCalls(2000);
	const cpuStart = process.cpuUsage();
	const startedMs = performance.now();
	await runCalls(measuredCalls);
	const elapsedMs = performance.now() - startedMs;
	const cpuUsed = process.cpuUsage(cpuStart);
	console.log(
		`${name} concurrency=${concurrency} calls_per_s=${Math.round((measuredCalls / elapsedMs) * 1000)} cpu_us_per_call=${((cpuUsed.user + cpuUsed.system) / measuredCalls).toFixed(1)} mean_latency_ms=${((elapsedMs * concurrency) / measuredCalls).toFixed(3)}`,
	);
};

const client = new PeerClient({address: `127.0.0.1:${port}`});

for (const concurrency of [1, 16, 256]) {
	await measure('peer-client', concurrency, async () =>
		client.call('echo.payload', payload, {timeoutMs: 10_000}),
	);
}

client.close();
await server.stop();
