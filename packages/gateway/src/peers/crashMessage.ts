/** The part of a report that tells crashes of backend servers and quarantined traits. */
import type { CrashReport } from '../quarantine/crashQuarantine.js'
import { readAmount, readList, readOptional, readText } from './wireValues.js'

export type WireCrashReport = [
  crashes: [incarnation: string, ageMs: number, traits: [string, number][]][],
  sound: [trait: string, ageMs: number, count: number][],
  traits: [
    trait: string,
    generation: number,
    probes: number,
    refusedAgeMs: number | null,
  ][],
]

/**
 * Encodes what an instance reports of crashes; null if that is nothing.
 *
 * @example
 * encodeCrashReport({ crashes: [], sound: [], traits: [] }) // null
 */
export function encodeCrashReport({
  crashes,
  sound,
  traits,
}: CrashReport): WireCrashReport | null {
  if (crashes.length + sound.length + traits.length === 0) return null
  return [
    crashes.map(({ incarnation, ageMs, traits: inFlight }) => [
      incarnation,
      Math.round(ageMs),
      [...inFlight],
    ]),
    sound.map(({ trait, ageMs, count }) => [trait, Math.round(ageMs), count]),
    traits.map(({ trait, generation, probes, refusedAgeMs }) => [
      trait,
      generation,
      probes,
      refusedAgeMs === undefined ? null : Math.round(refusedAgeMs),
    ]),
  ]
}

/**
 * Reads what another instance reports of crashes; throws if it is no such report.
 *
 * @example
 * readCrashReport([[], [], []]).crashes // []
 */
export function readCrashReport(value: unknown): CrashReport {
  const [crashes, sound, traits] = readList(value)
  return {
    crashes: readList(crashes).map((row) => {
      const [incarnation, ageMs, inFlight] = readList(row)
      return {
        incarnation: readText(incarnation),
        ageMs: readAmount(ageMs),
        traits: new Map(readList(inFlight).map(readTraitPosition)),
      }
    }),
    sound: readList(sound).map((row) => {
      const [trait, ageMs, count] = readList(row)
      return {
        trait: readText(trait),
        ageMs: readAmount(ageMs),
        count: readAmount(count),
      }
    }),
    traits: readList(traits).map((row) => {
      const [trait, generation, probes, refusedAgeMs] = readList(row)
      return {
        trait: readText(trait),
        generation: readAmount(generation),
        probes: readAmount(probes),
        refusedAgeMs: readOptional(refusedAgeMs, readCount),
      }
    }),
  }
}

function readTraitPosition(row: unknown): [string, number] {
  const [trait, position] = readList(row)
  return [readText(trait), readAmount(position)]
}

function readCount(value: unknown): number {
  return readAmount(value)
}
