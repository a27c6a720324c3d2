// Measures calls per second and processor time per call over one link, client and server in one
// process, so the processor time covers both ends.
import * as z from 'zod';
import {PeerClient} from './peer-client.ts';
import {createPeerRouter} from './peer-router.ts';
import {PeerServer} from './peer-server.ts';

const calls = 20_000;
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
	const runAll = async (count: number) => {
		let left = count;
		await Promise.all(
			Array.from({length: concurrency}, async () => {
				while (left-- > 0) {
					await call();
				}
			}),
		);
	};

	await runAll(2000);
	const cpu = process.cpuUsage();
	const startedMs = performance.now();
	await runAll(calls);
	const elapsedMs = performance.now() - startedMs;
	const used = process.cpuUsage(cpu);
	console.log(
		`${name} concurrency=${concurrency} calls_per_s=${Math.round((calls / elapsedMs) * 1000)} cpu_us_per_call=${((used.user + used.system) / calls).toFixed(1)} mean_latency_ms=${((elapsedMs * concurrency) / calls).toFixed(3)}`,
	);
};

const peer = new PeerClient({address: `127.0.0.1:${port}`});

for (const concurrency of [1, 16, 256]) {
	await measure('peer-client', concurrency, async () =>
		peer.call('echo.payload', payload, {timeoutMs: 10_000}),
	);
}

peer.close();
await server.stop();
