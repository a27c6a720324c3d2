import {describe, expect, it} from 'vitest';
import {SharedPartDetector} from './shared-part-detector.ts';

describe('SharedPartDetector', () => {
	it('counts a part as shared when several programs sent it, but not when one program sent it often', () => {
		const detector = new SharedPartDetector();
		for (let turn = 0; turn < 10; turn++) {
			detector.record('p1', ['system', 'own']);
		}

		expect(detector.isShared('system')).toBe(false);
		detector.record('p2', ['system']);
		expect(detector.isShared('system')).toBe(true);
		expect(detector.isShared('own')).toBe(false);
	});

	it('bounds the number of tracked parts', () => {
		const detector = new SharedPartDetector();
		for (const program of ['p1', 'p2', 'p3']) {
			detector.record(program, ['old']);
		}

		for (let part = 0; part < 5000; part++) {
			detector.record('p4', [`part-${part}`]);
		}

		expect(detector.isShared('old')).toBe(false);
	});
});
