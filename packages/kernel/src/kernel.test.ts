import {describe, expect, it} from 'vitest';
import {Kernel} from './kernel.ts';
import {Service} from './service.ts';

class RecordingService extends Service {
	readonly name: string;
	readonly #events: string[];
	readonly #failsToStart: boolean;

	constructor(name: string, events: string[], failsToStart = false) {
		super();
		this.name = name;
		this.#events = events;
		this.#failsToStart = failsToStart;
	}

	override async start() {
		if (this.#failsToStart) {
			throw new Error('port in use');
		}

		this.#events.push(`start ${this.name}`);
	}

	override async stop() {
		this.#events.push(`stop ${this.name}`);
	}
}

describe('Kernel', () => {
	describe('register', () => {
		it('refuses a second service with the same name', () => {
			const kernel = new Kernel().register(new RecordingService('a', []));
			expect(() => kernel.register(new RecordingService('a', []))).toThrow(
				'A service named a exists',
			);
		});
	});

	describe('start and stop', () => {
		it('stops services in the reverse order of their start', async () => {
			const events: string[] = [];
			const kernel = new Kernel()
				.register(new RecordingService('a', events))
				.register(new RecordingService('b', events));
			await kernel.start();
			await kernel.stop();
			expect(events).toEqual(['start a', 'start b', 'stop b', 'stop a']);
		});

		it('stops the started services when a later one fails to start', async () => {
			const events: string[] = [];
			const kernel = new Kernel()
				.register(new RecordingService('a', events))
				.register(new RecordingService('b', events, true));
			await expect(kernel.start()).rejects.toThrow('port in use');
			expect(events).toEqual(['start a', 'stop a']);
		});
	});
});
