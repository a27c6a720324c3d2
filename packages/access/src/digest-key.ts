import {createHash} from 'node:crypto';
import {asId, type KeyDigest} from '@marjoramcove/types';

/**
 * Returns the digest under which a key is stored and looked up, so that no key remains in memory.
 *
 * @example
 * ```ts
 * const digest = digestKey('f3a1');
 * ```
 */
export const digestKey = (key: string): KeyDigest =>
	asId<KeyDigest>(createHash('sha256').update(key, 'utf8').digest('hex'));
